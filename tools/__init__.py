"""Tools for building; not part of the shipped package."""
