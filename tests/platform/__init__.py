"""Tests of `goldcresthall.platform`."""
