"""Endpoints whose address another process has now, although the endpoint list still contains them.

A new process may have the address of one that has ended, and the list may arrive in parts: the new process is
listed before the old one is removed. Whatever is sent to the old one would reach the new one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from olivepost import interface as api
from olivepost.config import Address
from olivepost.proxy.upstream.endpoint_address import EndpointAddress
from olivepost.units import Instant

START_NOT_GIVEN = 0  # a process whose start is not given was there before all processes with a start


class EndpointChange(NamedTuple):
    """An endpoint update, and the address of each endpoint that it lists."""

    update: api.EndpointUpdate
    addresses: list[EndpointAddress]


def remove_superseded(change: EndpointChange, known: Iterable[EndpointAddress]) -> EndpointChange:
    """Returns a change that also removes the endpoints whose address a later process has.

    `known` are the endpoints that stay listed unless the change lists them anew. Returns a change that
    supersedes nothing as it is.
    """
    listed = {address.id: address for address in known}
    listed.update((address.id, address) for address in change.addresses)
    superseded = _superseded_ids(listed.values())
    if not superseded:
        return change
    kept = [
        (metadata, address)
        for metadata, address in zip(change.update.endpoints, change.addresses, strict=True)
        if address.id not in superseded
    ]
    kept += [_removal(endpoint_id) for endpoint_id in sorted(superseded)]
    endpoints = tuple(metadata for metadata, _ in kept)
    update = api.EndpointUpdate(change.update.kind, endpoints)
    return EndpointChange(update, [address for _, address in kept])


def _superseded_ids(addresses: Iterable[EndpointAddress]) -> set[str]:
    """Returns the ids of the endpoints at whose address a process with a later start is listed."""
    present = [address for address in addresses if address.state is not api.EndpointState.REMOVED]
    latest_starts: dict[Address | None, Instant] = {}
    for address in present:
        latest = latest_starts.get(address.socket_address, START_NOT_GIVEN)
        latest_starts[address.socket_address] = max(latest, _start_of(address))
    return {address.id for address in present if _start_of(address) < latest_starts[address.socket_address]}


def _start_of(address: EndpointAddress) -> Instant:
    return START_NOT_GIVEN if address.started_at is None else address.started_at


def _removal(endpoint_id: str) -> tuple[api.EndpointMetadata, EndpointAddress]:
    removed = api.EndpointState.REMOVED
    return api.EndpointMetadata(endpoint_id, state=removed), EndpointAddress(endpoint_id, None, None, removed)
