"""Tests of the kernel area."""
