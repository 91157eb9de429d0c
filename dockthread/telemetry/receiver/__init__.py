"""The stand-in for Graphite and collectd, for tests and trials.

`stand_in` listens and can misbehave, `decode` and `command_server` decode what arrives, and
`ledger` keeps it.
"""
