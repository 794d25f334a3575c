"""Routing of requests by host and path to the backend servers of a deployment."""
