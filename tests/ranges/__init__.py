"""Tests of `goldcresthall.ranges`."""
