"""The laboratory: load generator, simulations, rehearsals on processes and scale runs.

`arrivals` draws when which request is to start; `load` sends them and measures latencies;
`load_result` holds what became of them; `processes` sends one load from several processes; `seeds`
plays a simulated scenario with many seeds.
"""
