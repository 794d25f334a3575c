"""Tests of the replication package."""
