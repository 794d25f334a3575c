"""Routing of requests by host and path to the servers of a deployment."""
