"""The operator's file: INI read, checked and typed. Each section's type stands beside its
subsystem.
"""
