"""The ingress on real sockets: the I/O around the policy engine."""
