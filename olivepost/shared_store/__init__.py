"""What the proxies of one location exchange through shared stores; nothing there is more than a hint.

Exchanged are fill leases, cache locations, invalidations, quota transfers and outlier reports.

The decision part does no I/O and has no clock: `coordinator` dispatches to `lookups`, `fill_leases`,
`invalidations`, `generations`, `quota_exchange` (over `quota_transfers`), `outlier_reports` and `sync`.
`store_health` decides whether a store is used and trusted, `commands` tracks what waits for a reply,
`messages` has the types, `records` the stored form. `host` owns the threads and the client library, `scripts`
what a store runs, `settings` the operator's keys, `inspect` the command-line tool.
"""
