"""Every decision of a proxy: ranks, admission, selection, health, retries, invalidation. No clock, no I/O."""
