"""The side of the endpoints: connections to caches, parents and the origin, and their line protocol."""
