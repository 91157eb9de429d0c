"""The rehearsal kit's fleet: many members of an agreement under faults, in simulated time, and who
judges them.
"""
