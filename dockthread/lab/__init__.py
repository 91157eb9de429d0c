"""The laboratory: load generator, simulations, rehearsals on processes and scale runs.

`arrivals` draws when which request is to start; `load` sends them and takes the times; `outcome`
keeps what came.
"""
