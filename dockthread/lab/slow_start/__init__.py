"""The slow-start laboratory: a simulated fleet's warm-up and restarts."""
