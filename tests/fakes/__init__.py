"""Fake implementations of service interfaces."""
