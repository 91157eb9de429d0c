"""The log: its options, and how it is set up."""
