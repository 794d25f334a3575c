"""Clients of the platform's log service and instance list."""
