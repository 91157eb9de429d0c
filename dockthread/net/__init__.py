"""The network side of the ingress: the sockets and timers around the I/O-free policy engine."""
