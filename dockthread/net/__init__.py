"""The ingress on real sockets: what stands round the decision module."""
