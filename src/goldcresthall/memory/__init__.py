"""Bounds on the memory that bodies take, over all connections of the process."""
