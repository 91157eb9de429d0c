"""Telemetry: counts the events of an ingress and reports them to Graphite and collectd.

* `catalogue` lists the metrics.
* `tally` counts requests, attempts and counter calls, with `latency_histogram` and
  `heavy_hitters`.
* `metrics_reader` and `process_metrics` read the current values as points.
* `timestamps` gives each report its timestamp.
* `report_encoders` encodes points in the formats of `graphite`, `collectd` and `putval`.
* `delivery_queue` and `sender` decide which report is sent to a receiver, and when.
* `report_delivery` sends the reports over `connections`.
* `exporter` runs telemetry for an ingress; `options` defines its settings in the operator's file.
* `receiver` is a stand-in for Graphite and collectd.
"""
