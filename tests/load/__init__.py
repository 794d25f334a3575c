"""Tests of `goldcresthall.load`."""
