"""Moving averages, and a rate whose amounts decay."""

from __future__ import annotations

from olivepost.units import Duration, Instant


class MovingAverage:
    """An exponentially weighted moving average."""

    __slots__ = ("_step", "value")

    def __init__(self, step: float, value: float) -> None:
        self._step = step
        self.value = value

    def add(self, sample: float) -> None:
        """Moves the average towards a sample."""
        self.value += self._step * (sample - self.value)


class MovingAverages:
    """Moving averages, each of which has a name. The first sample of a name is its initial average."""

    __slots__ = ("_averages", "_step")

    def __init__(self, step: float) -> None:
        self._step = step
        self._averages: dict[str, MovingAverage] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._averages

    def get(self, name: str, default: float) -> float:
        """Returns the present average of a name, or the default before its first sample."""
        average = self._averages.get(name)
        return default if average is None else average.value

    def add(self, name: str, sample: float) -> None:
        """Moves the average of a name towards a sample."""
        average = self._averages.get(name)
        if average is None:
            self._averages[name] = MovingAverage(self._step, sample)
        else:
            average.add(sample)


class DecayingRate:
    """Rate of the amounts that were added over the time span `memory`.

    Each call first reduces the sum of the amounts linearly with the time since the previous call. The sum is
    0 if that time is `memory` or longer.
    """

    __slots__ = ("_memory", "_total", "_updated_at")

    def __init__(self, memory: Duration) -> None:
        self._memory = memory
        self._updated_at: Instant | None = None
        self._total = 0.0

    def add(self, now: Instant, amount: float) -> None:
        """Adds an amount at `now`."""
        self._fade(now)
        self._total += amount

    def per_nanosecond(self, now: Instant) -> float:
        """Returns the present rate, as an amount per nanosecond."""
        self._fade(now)
        return self._total / self._memory

    def _fade(self, now: Instant) -> None:
        if self._updated_at is not None:
            self._total *= max(0.0, 1 - (now - self._updated_at) / self._memory)
        self._updated_at = now
