"""Tests that documentation and code agree."""
