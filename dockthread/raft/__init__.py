"""The fleet's ingresses among themselves: what they agree on. Loaded only where the operator's file
has `[fleet]`.
"""
