"""Counts and latency of one load."""

import collections
import random
from typing import Any

from hdrh.histogram import HdrHistogram

# One microsecond to ten minutes with three significant digits.
_RANGE_US = (1, 600_000_000, 3)
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99_9": 99.9}


class Measures:
    """What the callers of one load saw.

    Attributes:
        deadline_ms: Time in which an answer is due.
        counts: Jobs by outcome; also "lost", "resubmitted" and "wrong".
        histograms: Latency in microseconds by kind, e.g. "complete_short".
        in_time: Jobs completed within the deadline.
        sent: Jobs begun.
    """

    def __init__(self, deadline_ms: float):
        self.deadline_ms = deadline_ms
        self.counts: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, HdrHistogram] = {}
        self.in_time = 0
        self.sent = 0

    def observe(self, kind: str, seconds: float) -> None:
        """Records the latency of one answer."""
        histogram = self.histograms.get(kind)
        if histogram is None:
            histogram = self.histograms[kind] = HdrHistogram(*_RANGE_US)
        histogram.record_value(max(1, round(seconds * 1e6)))
        if kind.startswith("complete") and seconds * 1e3 <= self.deadline_ms:
            self.in_time += 1

    def report(self) -> dict[str, Any]:
        """Returns counts and latency in milliseconds."""
        return {
            "sent": self.sent,
            "in_time": self.in_time,
            "in_time_share": round(self.in_time / self.sent, 5)
            if self.sent
            else None,
            "counts": dict(sorted(self.counts.items())),
            "latency_ms": {
                kind: _summary(histogram)
                for kind, histogram in sorted(self.histograms.items())
            },
        }


def added_latency(entry: Measures, direct: Measures) -> dict[str, Any]:
    """Returns by how many ms the entry's percentiles exceed the direct ones.

    Each kind of job is compared with direct calls of its kind.
    """
    added = {}
    for kind, histogram in sorted(entry.histograms.items()):
        baseline = direct.histograms.get(kind)
        if baseline is not None:
            added[kind] = {
                name: round(_at(histogram, p) - _at(baseline, p), 3)
                for name, p in PERCENTILES.items()
            }
    return added


def random_for(seed: int, name: str) -> random.Random:
    """Returns a generator that depends on the seed and a name only."""
    return random.Random(f"{seed}/{name}")


def _at(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1000


def _summary(histogram: HdrHistogram) -> dict[str, Any]:
    return {
        "count": histogram.get_total_count(),
        **{
            name: round(_at(histogram, percentile), 3)
            for name, percentile in PERCENTILES.items()
        },
        "max": round(histogram.get_max_value() / 1000, 3),
        "histogram": histogram.encode().decode(),
    }
