"""A simulated Raft cluster under faults, and a checker of the properties that Raft guarantees."""
