"""Measurements that can be repeated: each prints its figures, and writes nothing."""
