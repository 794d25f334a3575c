"""Tests of `goldcresthall.backend`."""
