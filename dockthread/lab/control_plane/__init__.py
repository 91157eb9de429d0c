"""The control plane in simulated time, with faults.

`simulation` runs voters, distributors, ingresses and a publisher on a simulated network. `faults`
injects faults into them, `checker` checks their behavior against rules, and `seeded_defects`
contains deliberate bugs that the checker has to find. The protocol logic is the real one from
`dockthread.control_plane`; only its I/O is replaced. All times are in ms of simulated time.
"""
