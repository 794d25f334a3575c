"""Building and running a router instance."""
