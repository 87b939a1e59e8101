"""Service discovery: receives the endpoint list and invalidations from a coordinator, by long poll.

`client` owns the coordinator's address and the long poll that is running. `watch_state` decides which events
are new. `long_poll` runs the polling thread, `poll_connection` owns the socket, and `event_parser` parses the
coordinator's JSON.
"""
