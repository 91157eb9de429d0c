"""Simulations of backends that warm up and of ingresses that restart at the same time."""
