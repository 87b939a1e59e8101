"""Data that the routing package keeps between events. Nothing here decides or holds a tuned value."""
