"""Stand-ins (test doubles) for the platform and the backend servers; not shipped."""
