"""All routing decisions of a proxy: ranks, admission, selection, health, retries and invalidation.

They read no clock and do no I/O.
"""
