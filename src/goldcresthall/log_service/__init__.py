"""Clients of what the platform provides: the log service and the instance list."""
