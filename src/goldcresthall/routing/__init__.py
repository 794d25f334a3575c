"""Routing of one request: route match, admission, server selection, attempts and retries."""
