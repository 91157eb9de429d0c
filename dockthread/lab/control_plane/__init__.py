"""Voters, distributors and ingresses of control in simulated time, with faults: `world` plays,
`checker` judges.
"""
