"""A histogram of durations whose number of buckets does not depend on the number of samples."""

from __future__ import annotations

from olivepost.units import MILLISECOND, Duration

# Number of bits below a duration's highest set bit that select its bucket, as in a log-linear (HDR)
# histogram. The bounds of a bucket differ by one part in 32.
PRECISION_BITS = 5
BUCKETS_PER_POWER = 1 << PRECISION_BITS
MAX_BITS = 48  # longer durations (above three days, in nanoseconds) are counted in the last bucket
LAST_BUCKET = MAX_BITS * BUCKETS_PER_POWER
PERCENTILES = {"p50": 50, "p95": 95, "p99": 99}


class DelayHistogram:
    """Counts of durations by bucket. Only one thread at a time may record; another one may read meanwhile."""

    __slots__ = ("_counts", "count", "longest")

    def __init__(self) -> None:
        self.count = 0
        self.longest = 0
        self._counts = [0] * (LAST_BUCKET + 1)

    def record(self, duration: Duration) -> None:
        """Adds one duration. A negative duration, which clocks that differ can cause, is recorded as 0."""
        duration = max(0, duration)
        self.count += 1
        self.longest = max(self.longest, duration)
        self._counts[_bucket_of(duration)] += 1

    def percentile(self, percent: int) -> Duration:
        """Returns the upper bound of a percentile's bucket, limited to the maximum; 0 without samples."""
        rank = self.count * percent // 100
        seen = 0
        for bucket, count in enumerate(self._counts[:LAST_BUCKET]):
            seen += count
            if seen > rank:
                return min(self.longest, _upper_bound_of(bucket))
        return self.longest

    def percentiles_ms(self) -> dict[str, float]:
        """Returns the percentiles and the maximum in milliseconds by name; empty without samples."""
        if not self.count:
            return {}
        durations_by_name = {name: self.percentile(percent) for name, percent in PERCENTILES.items()}
        durations_by_name["max"] = self.longest
        return {name: duration / MILLISECOND for name, duration in durations_by_name.items()}


def _bucket_of(duration: Duration) -> int:
    shift = max(0, duration.bit_length() - PRECISION_BITS - 1)
    if shift + PRECISION_BITS >= MAX_BITS:
        return LAST_BUCKET
    return shift * BUCKETS_PER_POWER + (duration >> shift)


def _upper_bound_of(bucket: int) -> int:
    shift = max(0, bucket // BUCKETS_PER_POWER - 1)
    return ((bucket - shift * BUCKETS_PER_POWER + 1) << shift) - 1
