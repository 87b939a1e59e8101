"""The real front: threads on blocking sockets round the decision module."""
