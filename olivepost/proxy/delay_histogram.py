"""A histogram of durations whose number of buckets does not depend on the number of samples."""

from __future__ import annotations

from olivepost.units import MILLISECOND, Duration

# A duration's highest set bit and this number of bits below it select the duration's bucket, as in a
# log-linear (HDR) histogram. The bounds of a bucket differ by at most one part in 32.
PRECISION_BITS = 5
BUCKETS_PER_POWER = 1 << PRECISION_BITS
# Largest number of bits of a duration that has a regular bucket. A longer duration (above three days, in
# nanoseconds) is counted in the last bucket.
MAX_BITS = 48
LAST_BUCKET = MAX_BITS * BUCKETS_PER_POWER
PERCENTILES = {"p50": 50, "p95": 95, "p99": 99}


class DelayHistogram:
    """Counts of recorded durations by bucket.

    Only one thread at a time may call `record`. Another thread may read the counts meanwhile.
    """

    __slots__ = ("_counts", "count", "longest")

    def __init__(self) -> None:
        self.count = 0
        self.longest = 0
        self._counts = [0] * (LAST_BUCKET + 1)

    def record(self, duration: Duration) -> None:
        """Adds one duration.

        A negative duration is recorded as 0. A duration can be negative if its start and its end were read
        from two different clocks.
        """
        duration = max(0, duration)
        self.count += 1
        self.longest = max(self.longest, duration)
        self._counts[_bucket_of(duration)] += 1

    def percentile(self, percent: int) -> Duration:
        """Returns the upper bound of the bucket in which a percentile of the durations lies.

        If the longest recorded duration is less than this bound, returns that duration. Returns 0 if no
        duration was recorded.
        """
        rank = self.count * percent // 100
        seen = 0
        for bucket, count in enumerate(self._counts[:LAST_BUCKET]):
            seen += count
            if seen > rank:
                return min(self.longest, _upper_bound_of(bucket))
        return self.longest

    def percentiles_ms(self) -> dict[str, float]:
        """Returns the percentiles and the longest duration by name, in milliseconds.

        The result is empty if no duration was recorded.
        """
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
