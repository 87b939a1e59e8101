"""A bounded cache of rendezvous orders: a tier's endpoints, ranked by their hashes for a name."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from olivepost.routing_state.endpoint import Role

EndpointOrder = tuple[str, ...]


@dataclass(slots=True)
class TierOrders:
    """Rendezvous orders of one tier's endpoints by name, with the least recently used order first."""

    endpoint_ids: EndpointOrder = ()
    by_name: OrderedDict[str, EndpointOrder] = field(default_factory=OrderedDict)


class OrderCache:
    """Rendezvous orders of endpoints by tier and name, up to a total size of `max_bytes`.

    A tier's orders are dropped when the tier's endpoints change. `entry_bytes` is the size of an order
    without its references to endpoint ids, and `reference_bytes` is the size of one such reference.
    """

    def __init__(self, max_bytes: int, entry_bytes: int, reference_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._entry_bytes = entry_bytes
        self._reference_bytes = reference_bytes
        self._tiers = {Role.CACHE: TierOrders(), Role.PARENT: TierOrders()}

    @property
    def used_bytes(self) -> int:
        """Total size of all cached orders in bytes."""
        return sum(len(tier.by_name) * self._order_bytes(tier.endpoint_ids) for tier in self._tiers.values())

    def get(self, role: Role, endpoint_ids: EndpointOrder, name: str) -> EndpointOrder | None:
        """Returns the cached order of `endpoint_ids` for a name, or None if the order is not cached."""
        tier = self._tiers[role]
        if tier.endpoint_ids is not endpoint_ids:
            if tier.endpoint_ids != endpoint_ids:
                tier.by_name.clear()
            tier.endpoint_ids = endpoint_ids
        order = tier.by_name.get(name)
        if order is not None:
            tier.by_name.move_to_end(name)
        return order

    def put(self, role: Role, name: str, order: EndpointOrder) -> None:
        """Stores an order that was computed for the endpoints of the role's last `get`."""
        tier = self._tiers[role]
        tier.by_name[name] = order
        while tier.by_name and self.used_bytes > self._max_bytes:
            tier.by_name.popitem(last=False)

    def clear(self) -> None:
        """Drops all orders."""
        for tier in self._tiers.values():
            tier.by_name.clear()

    def _order_bytes(self, order: EndpointOrder) -> int:
        return self._entry_bytes + self._reference_bytes * len(order)
