"""Repeatable measurements, each of which prints its figures."""
