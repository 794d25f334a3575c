"""Interface of the platform's store."""
