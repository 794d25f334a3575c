"""Metrics, logs and the decision log."""
