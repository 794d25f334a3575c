"""Load generator and benchmark experiments; not part of the shipped package."""
