"""The Raft cluster of the rehearsal kit: simulated members under faults, and their checker."""
