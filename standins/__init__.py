"""Stand-ins for external systems, written from public specifications, for tests and trials on loopback."""
