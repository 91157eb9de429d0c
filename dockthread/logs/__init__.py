"""Logging: options, set-up, and a tracer that logs single events at level TRACE."""
