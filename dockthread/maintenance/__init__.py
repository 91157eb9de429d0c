"""Planned maintenance: the ingresses agree which backend or ingress is taken out of service when."""
