"""Test tools: a load generator, simulations, scenarios on real processes, and scale runs.

`arrivals` generates the arrival times of requests; `load` sends the requests and measures their
latencies; `load_result` aggregates outcomes and latencies; `processes` sends one load from several
processes; `event_queue` is the clock of the simulations; `seeds` runs a simulated scenario with many
seeds.
"""
