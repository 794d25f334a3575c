"""Metrics, logs and the operators' pages."""
