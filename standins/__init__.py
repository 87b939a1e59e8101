"""Stand-ins for external systems, from their public specifications. Loopback only, for tests and trials."""
