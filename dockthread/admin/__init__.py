"""What operators do to a running ingress: settings at SIGHUP, the management door, its figures,
drains by hand.

Each concern has its decisions in a module free of I/O and, where it needs one, a thin rim beside
it.
"""
