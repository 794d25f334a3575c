"""Tests of the processes area."""
