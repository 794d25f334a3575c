"""Construction and lifecycle of a router instance."""
