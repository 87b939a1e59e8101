"""Faults that are injected into a running soak one after another; the seed chooses them."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable

from tests.soak.clients import NAMES
from tests.soak.environment import SoakEnvironment
from tests.soak.faults import DiscoveryMode, EndpointFault
from tests.soak.oracle import Oracle
from tests.soak.proxy_process import ProxyProcess
from tests.soak.traffic import object_name

COMMON_FAULT_SHARE = 0.15  # share of endpoint faults that affect all endpoints at once
FAULT_SHARES = (0.1, 0.5, 1.0)  # possible shares of an endpoint's commands that a fault affects
DISCOVERY_FAULTS = (DiscoveryMode.UNRESPONSIVE, DiscoveryMode.DOWN)
MAX_OUTAGE_S = 0.4  # longest outage of discovery
MAX_INTERVAL_S = 0.4  # longest time between two faults
MAX_PAUSE_S = 1.0  # longest time for which the proxy is stopped with SIGSTOP
MAX_RELOAD_INTERVAL_S = 0.02
INVALIDATIONS = 5  # number of invalidations that one injected fault publishes, each of a random object
MIN_READY_ENDPOINTS = 3  # at least this many caches and parents stay in service


class FaultInjector:
    """The injector of one run's faults.

    One random source makes all random choices, so that every run of a seed injects its faults in the same
    order. `proxy` is a function that returns the current proxy process, since the run may restart the proxy.
    """

    def __init__(
        self,
        random_source: random.Random,
        environment: SoakEnvironment,
        oracle: Oracle,
        proxy: Callable[[], ProxyProcess],
    ) -> None:
        self._random_source = random_source
        self._environment = environment
        self._oracle = oracle
        self._proxy = proxy
        self._steps: list[Callable[[], None]] = [
            self._fault_endpoints,
            self._fault_endpoints,
            self._fault_endpoints,
            self._fault_endpoints,
            self._interrupt_discovery,
            self._publish_repeatedly,
            self._drain_endpoint,
            self._invalidate_objects,
            self._invalidate_objects,
            self._reload_repeatedly,
            self._pause_proxy,
        ]

    def inject_next(self) -> None:
        """Injects one fault, then waits for a random time of up to `MAX_INTERVAL_S`."""
        self._random_source.choice(self._steps)()
        time.sleep(self._random_source.random() * MAX_INTERVAL_S)

    def _fault_endpoints(self) -> None:
        plans = self._environment.plans
        for plan in plans.values():
            plan.fault = None
        is_common = self._random_source.random() < COMMON_FAULT_SHARE
        endpoint_ids = list(plans) if is_common else self._random_source.sample(sorted(plans), 2)
        fault = self._random_source.choice(list(EndpointFault))
        for endpoint_id in endpoint_ids:
            plans[endpoint_id].share = self._random_source.choice(FAULT_SHARES)
            plans[endpoint_id].fault = fault

    def _interrupt_discovery(self) -> None:
        began_at = time.monotonic()
        self._environment.coordinator.mode = self._random_source.choice(DISCOVERY_FAULTS)
        time.sleep(self._random_source.random() * MAX_OUTAGE_S)
        self._environment.coordinator.mode = DiscoveryMode.NORMAL
        self._oracle.discovery_outages.append((began_at, time.monotonic()))

    def _publish_repeatedly(self) -> None:
        """Publishes the complete endpoint list several times without a pause in between."""
        for _ in range(self._random_source.randrange(1, 20)):
            self._environment.publish_all()

    def _drain_endpoint(self) -> None:
        ready = self._environment.drainable_ids()
        if len(ready) > MIN_READY_ENDPOINTS:
            self._environment.drain(self._random_source.choice(ready))

    def _invalidate_objects(self) -> None:
        for _ in range(INVALIDATIONS):
            number = min(self._random_source.randrange(NAMES), self._random_source.randrange(NAMES))
            self._environment.invalidate(object_name(number))

    def _reload_repeatedly(self) -> None:
        for _ in range(self._random_source.randrange(1, 6)):
            self._proxy().signal(signal.SIGHUP)
            time.sleep(self._random_source.random() * MAX_RELOAD_INTERVAL_S)

    def _pause_proxy(self) -> None:
        began_at = time.monotonic()
        self._proxy().signal(signal.SIGSTOP)
        time.sleep(self._random_source.random() * MAX_PAUSE_S)
        self._proxy().signal(signal.SIGCONT)
        self._oracle.pauses.append((began_at, time.monotonic()))
