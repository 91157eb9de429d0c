"""The log: its options, its set-up, and single events at TRACE."""
