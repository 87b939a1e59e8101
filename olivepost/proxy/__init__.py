"""The proxy process: threads on blocking sockets around the router."""
