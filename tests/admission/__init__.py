"""Tests of `goldcresthall.admission`."""
