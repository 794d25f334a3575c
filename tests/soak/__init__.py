"""Randomized soak tests of real processes under injected faults."""
