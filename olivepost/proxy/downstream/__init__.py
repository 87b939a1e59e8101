"""The client side: listener, admission, connections, request mapping and response writing."""
