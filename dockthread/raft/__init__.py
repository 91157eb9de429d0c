"""The replicated log on which the members of a fleet agree, by the Raft protocol.

Loaded only where the operator's file has the section `[fleet]`. The protocol itself is `core`,
which does no I/O; `server` runs it on sockets and on a disk.
"""
