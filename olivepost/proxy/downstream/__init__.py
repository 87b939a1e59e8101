"""The client side: listener, connections, request mapping and response writing."""
