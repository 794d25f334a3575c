"""Tests of goldcresthall."""
