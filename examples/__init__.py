"""Example of a proxy on loopback, with toy endpoints and a toy coordinator."""
