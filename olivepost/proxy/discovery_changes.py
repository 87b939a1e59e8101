"""Application of the changes that service discovery reports: endpoint updates and invalidations."""

from __future__ import annotations

from collections import Counter

from olivepost import interface as api
from olivepost.proxy.action_executor import ActionExecutor
from olivepost.proxy.address_reuse import EndpointChange, remove_superseded
from olivepost.proxy.discovery.messages import DiscoveryEvent
from olivepost.proxy.event_loop_resources import EventLoopResources
from olivepost.proxy.exchange_lifecycle import ExchangeLifecycle
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.proxy.upstream.request import UpstreamRequest
from olivepost.routing_state import Role
from olivepost.routing_state.endpoint_table import role_of
from olivepost.units import Instant


class DiscoveryChanges:
    """Component that passes each change to every part of the proxy that depends on it.

    Only the event loop's thread uses it. An endpoint update is first passed to the upstream pool, and an
    invalidation to the response cache. The change is then passed to the router, to the attempts that no
    connection has begun to write, and finally to the shared store.
    """

    def __init__(
        self, resources: EventLoopResources, lifecycle: ExchangeLifecycle, executor: ActionExecutor
    ) -> None:
        self._router = resources.router
        self._log = resources.log
        self._response_cache = resources.response_cache
        self._upstream = resources.upstream
        self._shared_store = resources.shared_store
        self._lifecycle = lifecycle
        self._executor = executor

    def apply(self, now: Instant, event: DiscoveryEvent) -> None:
        """Applies an endpoint update or an invalidation, and informs the shared store, if there is one."""
        change = event.change
        if isinstance(change, api.Invalidation):
            self.invalidate(now, change)
            if self._shared_store is not None:
                self._shared_store.invalidate(change, now)
        else:
            self._change_endpoints(now, change, event.addresses)

    def invalidate(self, now: Instant, invalidation: api.Invalidation) -> None:
        """Applies an invalidation to the response cache, the router and the attempts not yet written.

        The shared store is not informed, because the invalidation may have come from it.
        """
        self._response_cache.invalidate(invalidation.object, invalidation.group, now - invalidation.age)
        self._executor.execute(self._router.handle(now, invalidation))

        def is_invalidated(attempt: UpstreamRequest) -> bool:
            if invalidation.object:
                return attempt.exchange.object == invalidation.object
            return attempt.exchange.group == invalidation.group

        self._lifecycle.withdraw(now, is_invalidated)

    def _change_endpoints(
        self, now: Instant, listed: api.EndpointUpdate, addresses: list[EndpointAddress]
    ) -> None:
        is_complete = listed.kind is not api.EndpointUpdateKind.INCREMENTAL
        known = () if is_complete else self._upstream.addresses
        change = remove_superseded(EndpointChange(listed, addresses), known)
        self._update_endpoints(now, change, is_complete)
        if self._shared_store is not None:
            self._shared_store.notify(change.update)

    def _update_endpoints(self, now: Instant, change: EndpointChange, is_complete: bool) -> None:
        update = change.update
        withdrawn = self._upstream.update(self._usable_addresses(change), is_complete)
        self._executor.execute(self._router.handle(now, update))
        if update.kind is not api.EndpointUpdateKind.RESTORED:
            self._log_update(change)
        self._lifecycle.withdraw(now, self._is_for_unready_endpoint, withdrawn)

    def _is_for_unready_endpoint(self, attempt: UpstreamRequest) -> bool:
        if attempt.source is not None and not self._is_ready(attempt.source):
            return True
        return not self._is_ready(attempt.cache)

    def _is_ready(self, endpoint_id: str) -> bool:
        endpoint = self._router.state.endpoints.by_id.get(endpoint_id)
        return endpoint is not None and endpoint.metadata.state is api.EndpointState.READY

    def _usable_addresses(self, change: EndpointChange) -> list[EndpointAddress]:
        """Returns the addresses that the upstream pool needs for an endpoint update.

        These are the addresses of the endpoints that routing may use, and of the removed endpoints. The pool
        drops the removed endpoints.
        """
        settings = self._router.settings
        return [
            address
            for address, metadata in zip(change.addresses, change.update.endpoints, strict=True)
            if metadata.state is api.EndpointState.REMOVED
            or role_of(settings, metadata) is not Role.OTHER_ZONE
        ]

    def _log_update(self, change: EndpointChange) -> None:
        states = Counter(address.state.name.lower() for address in change.addresses)
        self._log.sampled_event("endpoints_updated", update=change.update.kind.name.lower(), endpoints=states)
