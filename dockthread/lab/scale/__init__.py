"""Scale runs: real ingresses beside hollow ones that share processes, measured from the system's
accounting.

A hollow ingress runs the code that receives control and decides by it, on real sockets, and serves
no client.
"""
