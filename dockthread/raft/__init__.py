"""The replicated log of a fleet, based on the Raft protocol.

The package is loaded only if the operator's INI file has a `[fleet]` section. `core` implements the
protocol without I/O; `server` runs it with sockets and storage.
"""
