"""Tests of `goldcresthall.gateway`."""
