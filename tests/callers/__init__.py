"""Tests of the callers area."""
