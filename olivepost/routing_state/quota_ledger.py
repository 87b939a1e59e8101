"""A ledger of the quota that was transferred between this proxy and others.

A proxy that is short of a quota requests an amount from the other proxies. A proxy that can spare some of its
own part donates an amount. This transfer gives the amount to the proxy that requested it, until an expiry
time. Donor and recipient each record the transfer in their own ledger.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from olivepost.interface import QuotaKey
from olivepost.units import Duration, Instant


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """Amount of a quota that one proxy has donated to another until an expiry time.

    The amount is above 0 if this proxy received the quota, and below 0 if this proxy donated it.
    """

    expires_at: Instant
    key: QuotaKey
    amount: float


@dataclass(frozen=True, slots=True)
class QuotaPart:
    """Part of a quota that belongs to this proxy, and the amount of that part that is in use."""

    amount: float
    used: float
    # The time after the expiry of a donation during which the donor may not yet use the donated amount again.
    return_delay: Duration = 0


class QuotaShortage(NamedTuple):
    """Amount of a quota that this proxy lacked when it was to make an attempt."""

    key: QuotaKey
    amount: float


class QuotaLedger:
    """Quota transfers in the order in which they were made. Each call of `record` drops expired transfers."""

    def __init__(self) -> None:
        self._transfers: list[QuotaTransfer] = []

    def __len__(self) -> int:
        return len(self._transfers)

    def balance(self, now: Instant, key: QuotaKey, max_amount: float = math.inf) -> float:
        """Returns the sum of a quota's unexpired transfers, each of which adds at most `max_amount`.

        Donations are below 0. With a `max_amount` of 0, the sum therefore contains only donations.
        """
        current = (item for item in self._transfers if item.key == key and item.expires_at > now)
        return sum(min(item.amount, max_amount) for item in current)

    def record(self, now: Instant, transfer: QuotaTransfer) -> None:
        """Adds a transfer, unless it undoes an earlier one; in that case, removes the earlier one instead.

        A transfer undoes an earlier one if both have the same key and expiry time and opposite amounts. A
        donation that comes back to its donor is such a transfer.
        """
        reversed_transfer = QuotaTransfer(transfer.expires_at, transfer.key, -transfer.amount)
        is_return = reversed_transfer in self._transfers
        self._transfers = [
            item for item in self._transfers if item.expires_at > now and item != reversed_transfer
        ]
        if not is_return:
            self._transfers.append(transfer)
