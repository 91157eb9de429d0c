"""Routes: named sets of requests with their own time-outs, attempts, copies, budgets and limits.

`options` is the section of the operator's file; `check` proves a file against the settings; `table`
finds a request's route; `bounds` is what reaches the module with a request; `budget` and `limit`
keep what a route may spend.
"""
