"""Telemetry: what an ingress counts, and how Graphite and collectd hear of it.

`catalogue` says what there is; `tally` adds up on the request's path; `reading` turns sums into
points; `graphite`, `collectd` and `putval` word them; `backlog` and `sender` decide what goes when;
`links` and `exporter` do the I/O; `receiver` is the stand-in for the other end.
"""
