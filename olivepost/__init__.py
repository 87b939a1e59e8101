"""olivepost: a request router for caches that fill from parent caches and an origin."""
