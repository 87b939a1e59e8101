"""What the proxies of one location exchange through shared stores.

Exchanged are fill leases, cache locations, invalidations, quota transfers and outlier reports. All of them
are hints: no deadline, age bound or quota rests on a store.

The decision part does no I/O and has no clock: `coordinator` dispatches to `lookups`, `fill_leases`,
`invalidations`, `generations`, `quota_exchange` (with `quota_requests` and `quota_donations`),
`outlier_reports` and `sync`. `circuit_breaker` decides whether a store is used, `store_health` whether it is
trusted; `commands` tracks pending replies. `messages` and `operations` have the types, `records` the stored
form.

`host` owns the threads, `store_worker` a connection, `client` the client library, `scripts` and `lua` the
scripts. `settings` has the operator's keys, `inspect` the commands `olivepost sharing`.
"""
