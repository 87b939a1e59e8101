"""Configuration of a proxy process, read from a file and the environment and validated.

Missing keys get defaults.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import orjson

from olivepost import interface as api
from olivepost.config.fields import Address, ConfigError, FieldReader, read_address
from olivepost.config.limits import ResourceLimits, read_limits
from olivepost.config.router_settings import read_settings
from olivepost.units import MILLISECOND, Duration

CONFIG_VARIABLE = "BALANCER_CONFIG"
LISTEN_VARIABLE = "BALANCER_LISTEN"
NAME_VARIABLE = "BALANCER_NAME"
DEFAULT_NAME = "front"

# Largest margin that is computed for the time between the router's final response and a request's deadline.
# With this margin, a proxy whose CPU core is fully loaded can still deliver the response in time.
MAX_DEADLINE_MARGIN: Duration = 100 * MILLISECOND
DEADLINES_PER_MARGIN = 8  # the computed deadline margin is at most the shortest deadline divided by this

MAX_BYTES_PER_S = 1e15
# Pattern of class names. Such names can be written in a request's target and in a field of the line protocol
# that endpoints speak.
CLASS_NAME = re.compile(r"[!#-*\-.0-9:-<>-~]{0,200}", re.ASCII)

# Fields of ProxyConfig that a running proxy can't change, and the keys that they are read from.
RESTART_KEYS = {
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "settings": "settings",
    "limits": "limits",
    "transfer_bytes_per_s": "flow_bytes_per_s",
}


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """The complete configuration of a proxy process."""

    name: str
    listen: Address
    seed: int
    coordinator: Address
    # The coordinator's events before the start, decoded but not validated, or None if there are none.
    known_events: object | None
    settings: api.Settings
    limits: ResourceLimits
    # Rate of one transfer on the proxy's own link in bytes per second, or None if it is unknown.
    transfer_bytes_per_s: float | None


def load(environment: Mapping[str, str], path: str | None = None) -> ProxyConfig:
    """Reads the file that `path`, or else the variable `BALANCER_CONFIG`, names.

    Raises a ConfigError that names the fault.
    """
    file_path = path or environment.get(CONFIG_VARIABLE)
    if not file_path:
        raise ConfigError(
            "is missing; it must name the configuration file", where="environment", key=CONFIG_VARIABLE
        )
    try:
        data = orjson.loads(Path(file_path).read_bytes())
    except OSError as error:
        raise ConfigError(
            f"names a file that can't be read: {file_path}: {error.strerror}",
            where="environment",
            key=CONFIG_VARIABLE,
        ) from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"is not JSON: {error}", where="configuration") from error
    return read_config(data, environment)


def read_config(data: object, environment: Mapping[str, str]) -> ProxyConfig:
    """Validates a decoded configuration.

    The environment's variables `BALANCER_NAME` and `BALANCER_LISTEN` take precedence over the configuration's
    `name` and `listen`.
    """
    configuration = FieldReader("configuration", data)
    listen = _read_listen(configuration, environment)
    settings = read_settings(configuration.data.get("settings"))
    transfer_bytes_per_s = configuration.number_within("flow_bytes_per_s", 0, MAX_BYTES_PER_S, 0) or None
    link_bytes_per_s = configuration.number_within("link_bytes_per_s", 0, MAX_BYTES_PER_S, 0)
    _check_class_names(settings)
    settings = replace(
        settings,
        local_transfer_capacity=link_bytes_per_s / transfer_bytes_per_s if transfer_bytes_per_s else 0.0,
        deadline_margin=max(settings.deadline_margin, _compute_deadline_margin(settings)),
        marks_client_retries=True,  # the HTTP protocol requires it, by `X-Repeat`
    )
    return ProxyConfig(
        name=environment.get(NAME_VARIABLE) or configuration.text("name", DEFAULT_NAME),
        listen=listen,
        seed=_read_seed(configuration),
        coordinator=configuration.address("coordinator"),
        known_events=configuration.data.get("known"),
        settings=settings,
        limits=read_limits(configuration, configuration.section("settings")),
        transfer_bytes_per_s=transfer_bytes_per_s,
    )


def keys_needing_restart(old: ProxyConfig, new: ProxyConfig) -> list[str]:
    """Returns those changed keys that only take effect when the proxy is restarted."""
    return [key for field, key in RESTART_KEYS.items() if getattr(old, field) != getattr(new, field)]


def _read_listen(configuration: FieldReader, environment: Mapping[str, str]) -> Address:
    listen = environment.get(LISTEN_VARIABLE)
    if not listen:
        return configuration.address("listen")
    try:
        return read_address(listen)
    except ValueError as error:
        raise ConfigError(str(error), where="environment", key=LISTEN_VARIABLE) from error


def _check_class_names(settings: api.Settings) -> None:
    """Raises ConfigError if there is no class or if a class name can't be written in a request."""
    if not settings.classes:
        raise ConfigError(
            "is missing or empty; it must list at least one class", where="settings", key="classes"
        )
    for name in settings.classes:
        if not CLASS_NAME.fullmatch(name):
            raise ConfigError(
                'must have names of 1 to 200 visible ASCII characters without any of " + , / =,'
                f" not {name[:80]!r}",
                where="settings",
                key="classes",
            )


def _compute_deadline_margin(settings: api.Settings) -> Duration:
    """Returns the least time that the router leaves between its final response and a request's deadline."""
    shortest_deadline = min(spec.deadline for spec in settings.classes.values())
    return min(MAX_DEADLINE_MARGIN, shortest_deadline // DEADLINES_PER_MARGIN)


def _read_seed(configuration: FieldReader) -> int:
    """Returns the seed, which the configuration has as hexadecimal digits or as a whole number."""
    value = configuration.data.get("seed", 0)
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(configuration.text("seed"), 16)
    except ValueError as error:
        raise configuration.error("seed", "must be hexadecimal digits or a whole number") from error
