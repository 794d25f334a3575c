"""Tests of `goldcresthall.callers`."""
