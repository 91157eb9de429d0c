"""A soak of one ingress process under faults: slow peers, floods, kills, upgrades and crowds.

The ingress runs as a process of its own on loopback addresses, with the memory and the descriptors
that its settings name. Clients, backends and discovery are played in the process of the soak, so
that each request is known at both ends. A run is drawn from a seed and ends with a list of
violations.
"""
