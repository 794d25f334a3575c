"""Tests that pages and code agree."""
