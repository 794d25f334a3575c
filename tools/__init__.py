"""Build tools; not part of the shipped package."""
