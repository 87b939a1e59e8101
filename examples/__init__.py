"""A proxy to try on loopback, with toy endpoints and a toy coordinator."""
