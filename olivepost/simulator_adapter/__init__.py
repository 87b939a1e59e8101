"""Hosts routers on the simulator's wire."""
