"""Routes: named sets of requests with their own timeouts, attempts, hedges, budgets and limits.

`options` defines the section of the operator's file. `check` and `route_validator` validate routes
against the settings and report `findings`. `layers` and `table` hold the active routes and find the
route for a request. `bounds` implements the policy engine's `Route` protocol for one request.
`usage` holds the state that the requests of a route share. `model_checker` tests these modules
together with the engine.
"""
