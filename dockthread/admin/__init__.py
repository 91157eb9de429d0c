"""What operators do to a running ingress.

| module | what it owns |
| --- | --- |
| `commands.py` | the management server's requests and responses, without I/O |
| `server.py` | the management server: HTTP on a socket |
| `ingress_admin.py` | carries a command out at one ingress |
| `detached_backends.py` | the file of backends that were detached by hand |
| `prometheus.py` | the text of `/_vars` |
| `reload.py` | which settings hold after SIGHUP, without I/O |
"""
