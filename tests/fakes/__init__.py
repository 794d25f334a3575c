"""Small fakes at the interfaces of services."""
