"""Tests of the goldcresthall package."""
