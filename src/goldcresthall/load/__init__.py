"""Estimates of the work of requests and of the state of backend servers."""
