"""Quota that was transferred between this proxy and others."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from olivepost.interface import QuotaKey
from olivepost.units import Duration, Instant


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """An amount received (above 0) or donated (below 0) until it expires."""

    expires_at: Instant
    key: QuotaKey
    amount: float


@dataclass(frozen=True, slots=True)
class QuotaPart:
    """This proxy's part of a quota, and how much of it is used."""

    amount: float
    used: float
    return_delay: Duration = 0  # after a donation's end, before the donor may use the amount again


class QuotaShortage(NamedTuple):
    """So much of a quota was lacking when an attempt was to be made."""

    key: QuotaKey
    amount: float


class QuotaLedger:
    """Transfers that have not expired, in the order in which they were made."""

    def __init__(self) -> None:
        self._transfers: list[QuotaTransfer] = []

    def __len__(self) -> int:
        return len(self._transfers)

    def balance(self, now: Instant, key: QuotaKey, max_amount: float = math.inf) -> float:
        """The sum of a quota's transfers, each counted with at most `max_amount`."""
        current = (item for item in self._transfers if item.key == key and item.expires_at > now)
        return sum(min(item.amount, max_amount) for item in current)

    def record(self, now: Instant, transfer: QuotaTransfer) -> None:
        """Adds a transfer; one that reverses an earlier transfer removes that instead."""
        reversed_transfer = QuotaTransfer(transfer.expires_at, transfer.key, -transfer.amount)
        is_return = reversed_transfer in self._transfers
        self._transfers = [
            item for item in self._transfers if item.expires_at > now and item != reversed_transfer
        ]
        if not is_return:
            self._transfers.append(transfer)
