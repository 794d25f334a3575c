"""Tests of `goldcresthall.memory`."""
