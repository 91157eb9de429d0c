"""The slow-start laboratory: simulated backends that warm up, and waves of restarted ingresses."""
