"""Ownership of key ranges: their table, their lessor and where requests for them go."""
