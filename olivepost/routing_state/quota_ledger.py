"""A ledger of the quota that was transferred between this proxy and others."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from olivepost.interface import QuotaKey
from olivepost.units import Duration, Instant


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """Transfer of quota until it expires.

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
    # The time after a donation's end during which the donor may not yet use the amount again.
    return_delay: Duration = 0


class QuotaShortage(NamedTuple):
    """Amount of a quota that this proxy lacked when it was to make an attempt."""

    key: QuotaKey
    amount: float


class QuotaLedger:
    """Quota transfers in the order in which they were made. Each call of `record` drops the expired ones."""

    def __init__(self) -> None:
        self._transfers: list[QuotaTransfer] = []

    def __len__(self) -> int:
        return len(self._transfers)

    def balance(self, now: Instant, key: QuotaKey, max_amount: float = math.inf) -> float:
        """Returns the sum of a quota's unexpired transfers, each of which adds at most `max_amount`."""
        current = (item for item in self._transfers if item.key == key and item.expires_at > now)
        return sum(min(item.amount, max_amount) for item in current)

    def record(self, now: Instant, transfer: QuotaTransfer) -> None:
        """Adds a transfer. If it returns an earlier transfer, the earlier transfer is removed instead.

        A transfer returns another one if it has the same key and expiry time and the opposite amount.
        """
        reversed_transfer = QuotaTransfer(transfer.expires_at, transfer.key, -transfer.amount)
        is_return = reversed_transfer in self._transfers
        self._transfers = [
            item for item in self._transfers if item.expires_at > now and item != reversed_transfer
        ]
        if not is_return:
            self._transfers.append(transfer)
