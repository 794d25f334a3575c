"""Small stand-ins of what surrounds the router; not part of the shipped package."""
