"""Scale runs: measure the cost of real and hollow ingresses from the kernel's accounting.

A hollow ingress is simulated, and many share a process. It runs the code that receives
control-plane data and makes decisions from it, on real sockets, and serves no clients.
"""
