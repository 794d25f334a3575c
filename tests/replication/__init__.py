"""Tests of the replication area."""
