"""Clients of backend servers: their work and their leases."""
