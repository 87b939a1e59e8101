"""Service discovery: the endpoint list and invalidations, by long poll.

`client` owns the coordinator's address and the running poll, `watch_state` decides which events are new,
`long_poll` has the thread, `poll_connection` the socket, and `event_parser` reads the coordinator's JSON.
"""
