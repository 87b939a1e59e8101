"""Adapter that runs routers for the simulator, over its protocol of JSON lines."""
