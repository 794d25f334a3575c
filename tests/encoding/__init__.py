"""Tests of the encoding area."""
