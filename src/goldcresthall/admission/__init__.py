"""Decisions on which requests wait, in which order, and which are refused."""
