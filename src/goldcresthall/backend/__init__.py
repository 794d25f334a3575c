"""Clients of backend servers, for requests and for leases."""
