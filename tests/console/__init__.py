"""Tests of the console area."""
