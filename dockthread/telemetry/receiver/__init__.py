"""A stand-in for Graphite and collectd, for tests and experiments.

`stand_in` listens for connections and packets and can simulate faults. `decode` and
`command_server` decode the received data, and `ledger` stores it.
"""
