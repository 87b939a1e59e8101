"""Configuration: typed settings and resource limits, read from the platform's JSON.

`load` reads the configuration of a proxy process. `read_settings` reads the router settings alone; the
simulator's adapter uses it, too. Errors name the faulty key.
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
