"""Tests of the console package."""
