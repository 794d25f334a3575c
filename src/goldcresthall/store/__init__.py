"""The platform's store as the rest of the code sees it."""
