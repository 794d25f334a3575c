"""Tests of `goldcresthall.store`."""
