"""Tests of the encoding package."""
