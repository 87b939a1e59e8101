"""Configuration: the platform's JSON read into typed settings and resource limits, with errors by key.

`load` reads the configuration of a proxy process; `read_settings` reads the router settings alone, also for
the simulator's adapter.
"""

from olivepost.config.fields import Address, ConfigError, FieldReader, read_address
from olivepost.config.limits import MAX_OBJECT_BYTES, SMALL_BODY_BYTES, ResourceLimits
from olivepost.config.loader import ProxyConfig, keys_needing_restart, load, read_config
from olivepost.config.router_settings import ENDPOINT_STATES, read_settings

__all__ = [
    "ENDPOINT_STATES",
    "MAX_OBJECT_BYTES",
    "SMALL_BODY_BYTES",
    "Address",
    "ConfigError",
    "FieldReader",
    "ProxyConfig",
    "ResourceLimits",
    "keys_needing_restart",
    "load",
    "read_address",
    "read_config",
    "read_settings",
]
