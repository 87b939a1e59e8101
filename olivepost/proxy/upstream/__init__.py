"""Upstream side of the proxy: endpoint pool, line protocol, connections to caches, parents and the origin."""
