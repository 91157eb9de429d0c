"""The stand-in for Graphite and collectd: listens, decodes every protocol, keeps what came, and can
misbehave.
"""
