"""Every decision of a proxy: routing, admission, health, retries, invalidation. No clock and no I/O."""
