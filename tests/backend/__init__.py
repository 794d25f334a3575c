"""Tests of the backend area."""
