"""Exchange of hints between the proxies of one location through shared stores.

The proxies exchange fill leases, cache locations, invalidations, quota transfers and outlier reports. All of
them are hints, and no deadline, age limit or quota depends on a store.

The decision part does no I/O and has no clock. `coordinator` dispatches events to `lookups`,
`fill_leases`, `invalidations`, `generations`, `quota_exchange` (with `quota_requests` and `quota_donations`),
`outlier_reports` and `sync`. `circuit_breaker` decides whether a store is used, and `store_health` decides
whether it is trusted. `commands` tracks the commands whose replies are pending. `messages` and `operations`
define the types, and `records` defines the form in which a store keeps its records.

The other modules do the I/O. `host` owns the threads, `store_worker` owns a connection, `client` wraps the
client library, and `scripts` and `lua` contain the scripts. `settings` defines the keys of the
operator's file, and `inspect` implements the commands of `olivepost sharing`.
"""
