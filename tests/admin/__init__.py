"""Tests of the admin area."""
