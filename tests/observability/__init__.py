"""Tests of the observability area."""
