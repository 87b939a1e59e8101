"""Upstream side of the proxy: endpoint pool, connections to caches, parents and the origin, line protocol."""
