"""End-to-end tests that run the router as separate processes."""
