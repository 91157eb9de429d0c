"""Tools that test planned maintenance in a simulation and on real processes."""
