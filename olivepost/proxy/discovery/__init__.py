"""Service discovery: the endpoint list and invalidations, by long poll."""
