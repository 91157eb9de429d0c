"""The control plane in simulated time, with faults.

`simulation` runs voters, distributors, ingresses and a publisher on a simulated network, `faults`
strikes them, `checker` judges what they did, and `seeded_defects` are mistakes that it has to find.
The decisions are those of `dockthread.control_plane`; only its I/O is replaced. All times are in
ms of simulated time.
"""
