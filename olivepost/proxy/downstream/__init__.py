"""The side of the clients: listener, connections, response writers."""
