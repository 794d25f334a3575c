"""Tests of the ownership area."""
