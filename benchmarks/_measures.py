"""Counts and latency of one load."""

import collections
import random
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

# One microsecond to ten minutes with three significant digits.
_HISTOGRAM_OPTIONS = (1, 600_000_000, 3)
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99_9": 99.9}


@attrs.define
class TimeWindow:
    """Jobs that arrived in one stretch of time.

    Attributes:
        sent: Jobs begun.
        in_time: Jobs completed within the deadline.
        short_seconds: Latency of complete short jobs.
    """

    sent: int = 0
    in_time: int = 0
    short_seconds: list[float] = attrs.field(factory=list)


class LoadStatistics:
    """What the callers of one load saw.

    Attributes:
        deadline_ms: Time in which an answer is due.
        window_seconds: Length of the windows of which the worst is reported.
        counts: Jobs by outcome; also "lost", "resubmitted" and "wrong".
        histograms: Latency in microseconds by kind, e.g. "complete_short".
        in_time: Jobs completed within the deadline.
        sent: Jobs begun.
    """

    def __init__(self, deadline_ms: float, window_seconds: float):
        self.deadline_ms = deadline_ms
        self.window_seconds = window_seconds
        self.counts: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, HdrHistogram] = {}
        self.in_time = 0
        self.sent = 0
        self._windows: dict[int, TimeWindow] = collections.defaultdict(
            TimeWindow
        )

    def record_arrival(self, arrival: float) -> None:
        """Counts a job that arrived at this loop time."""
        self.sent += 1
        self._window_of(arrival).sent += 1

    def record_latency(self, kind: str, arrival: float, now: float) -> None:
        """Records the latency of one answer."""
        histogram = self.histograms.get(kind)
        if histogram is None:
            histogram = self.histograms[kind] = HdrHistogram(
                *_HISTOGRAM_OPTIONS
            )
        seconds = now - arrival
        histogram.record_value(max(1, round(seconds * 1e6)))
        window = self._window_of(arrival)
        if kind == "complete_short":
            window.short_seconds.append(seconds)
        if kind.startswith("complete") and seconds * 1e3 <= self.deadline_ms:
            self.in_time += 1
            window.in_time += 1

    def report(self) -> dict[str, Any]:
        """Returns counts and latency in milliseconds."""
        return {
            "sent": self.sent,
            "in_time": self.in_time,
            "in_time_share": round(self.in_time / self.sent, 5)
            if self.sent
            else None,
            "worst_window": self._summarize_worst_window(),
            "counts": dict(sorted(self.counts.items())),
            "latency_ms": {
                kind: _summarize_latency(histogram)
                for kind, histogram in sorted(self.histograms.items())
            },
        }

    def _window_of(self, arrival: float) -> TimeWindow:
        return self._windows[int(arrival / self.window_seconds)]

    def _summarize_worst_window(self) -> dict[str, Any]:
        windows = self._windows.values()
        shares = [w.in_time / w.sent for w in windows if w.sent]
        short = [sorted(w.short_seconds) for w in windows if w.short_seconds]
        worst = {
            name: max(
                seconds[min(len(seconds) - 1, int(len(seconds) * p / 100))]
                for seconds in short
            )
            for name, p in PERCENTILES.items()
            if short
        }
        return {
            "seconds": self.window_seconds,
            "in_time_share": round(min(shares), 5) if shares else None,
            "short_ms": {k: round(v * 1000, 3) for k, v in worst.items()},
        }


def added_latency(
    entry: LoadStatistics, direct: LoadStatistics
) -> dict[str, Any]:
    """Returns by how many ms the entry's percentiles exceed the direct ones.

    Each kind of job is compared with direct calls of its kind.
    """
    added = {}
    for kind, histogram in sorted(entry.histograms.items()):
        baseline = direct.histograms.get(kind)
        if baseline is not None:
            added[kind] = {
                name: round(
                    _percentile_ms(histogram, p) - _percentile_ms(baseline, p),
                    3,
                )
                for name, p in PERCENTILES.items()
            }
    return added


def make_rng(seed: int, name: str) -> random.Random:
    """Returns a generator that depends on the seed and a name only."""
    return random.Random(f"{seed}/{name}")


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1000


def _summarize_latency(histogram: HdrHistogram) -> dict[str, Any]:
    return {
        "count": histogram.get_total_count(),
        **{
            name: round(_percentile_ms(histogram, percentile), 3)
            for name, percentile in PERCENTILES.items()
        },
        "max": round(histogram.get_max_value() / 1000, 3),
        "histogram": histogram.encode().decode(),
    }
