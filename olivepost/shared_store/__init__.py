"""What fronts of one branch tell each other through shared stores: claims, holders, purges, loans, doubts.

The store is advice. `core` decides, with `standing`, `claims`, `purges`, `loans` and `suspicions`; none of
them does I/O. `host` has the threads and the client library, `scripts` what a store runs, `records` what it
keeps, `settings` the operator's keys.
"""
