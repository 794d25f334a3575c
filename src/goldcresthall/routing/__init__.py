"""Decisions for one request: its route, its server, its tries and its outcome."""
