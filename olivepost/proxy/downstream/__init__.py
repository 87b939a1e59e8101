"""The client side: listener, admission, connections, mapping of requests, and writing of responses."""
