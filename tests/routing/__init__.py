"""Tests of the routing area."""
