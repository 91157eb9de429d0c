"""The maintenance laboratory: simulated and as real processes."""
