"""Tests of the peers area."""
