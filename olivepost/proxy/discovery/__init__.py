"""Service discovery: the endpoint list and invalidations, by long poll.

`client` owns the coordinator's address and the running poll. `watch_state` decides which events are new.
`long_poll` runs the polling thread, `poll_connection` owns the socket, and `event_parser` parses the
coordinator's JSON.
"""
