"""Load and experiment tools; not part of the shipped package."""
