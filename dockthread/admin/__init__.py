"""The management endpoint of a running ingress, and the reload of its settings.

| module | responsibility |
| --- | --- |
| `commands.py` | requests and responses of the management server, without I/O |
| `server.py` | the management server: HTTP on a socket |
| `ingress_admin.py` | executes the commands on one ingress |
| `detached_backends.py` | the file that lists the backends detached by an operator |
| `prometheus.py` | the metrics of `/_vars` in Prometheus's text format |
| `reload.py` | the settings in effect after SIGHUP, without I/O |
"""
