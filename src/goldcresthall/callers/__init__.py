"""HTTP front ends for callers."""
