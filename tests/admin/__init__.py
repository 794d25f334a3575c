"""Tests of the admin package."""
