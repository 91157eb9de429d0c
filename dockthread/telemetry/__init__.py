"""Telemetry: what an ingress counts, and how it is reported to Graphite and collectd.

* `catalogue` lists the metrics.
* `tally` counts on a request's path, with `latency_histogram` and `heavy_hitters`.
* `metrics_reader` and `process_metrics` read the counts as points, at a moment of `timestamps`.
* `report_encoders` encode points, by `graphite`, `collectd` and `putval`.
* `delivery_queue` and `sender` decide what a receiver is sent, and when.
* `report_delivery` and `connections` send it.
* `exporter` runs all of these beside an ingress, by the `options` of the operator's file.
* `receiver` is a stand-in for Graphite and collectd.
"""
