"""The laboratory: tools that put an ingress, or any address that speaks the protocol, under known
load.

`arrivals` draws when which request is to start; `load` sends them and takes the times; `outcome`
keeps what came.
"""
