"""The proxy process: the router, and the threads that serve its connections with blocking sockets."""
