"""Planned maintenance: ingresses agree when each backend or ingress is taken out of service."""
