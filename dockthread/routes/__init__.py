"""Routes: named sets of requests with timeouts, attempts, hedges, budgets and limits of their own.

`options` is the section of the operator's file; `check` and `class_proof` prove a file against the
settings, and `findings` are what they find; `layers` and `table` keep the routes in force and find
a request's route; `bounds` implements the policy engine's `Route` for one request; `usage` is what
the requests of a route share; `model_checker` checks all of them with the engine.
"""
