"""Counts and latency histograms of one generated load."""

import collections
import random
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

# Smallest and largest latency in microseconds (10 minutes), and the number of
# significant decimal digits.
_HISTOGRAM_OPTIONS = (1, 600_000_000, 3)
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99_9": 99.9}


@attrs.define
class TimeWindow:
    """Statistics of the jobs that arrived in one time window.

    Attributes:
        sent: Number of jobs that arrived.
        in_time: Number of these jobs that were completed within the deadline.
        short_seconds: Latencies of completed short jobs, in seconds.
    """

    sent: int = 0
    in_time: int = 0
    short_seconds: list[float] = attrs.field(factory=list)


class LoadStatistics:
    """Outcomes and latencies of one load as its callers observed them.

    Attributes:
        deadline_ms: Time from arrival within which a job must be completed, in
            milliseconds.
        window_seconds: Length of a time window in seconds. The report includes
            the worst window.
        counts: Number of jobs by outcome, which may also be "lost", "no_id" or
            "wrong". "resubmitted" counts repeated requests. The sender of the
            jobs updates these counts.
        histograms: Latency in microseconds by kind of answer, such as
            "complete_short".
        in_time: Number of jobs that were completed within the deadline.
        sent: Number of jobs that arrived.
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
        """Counts a job that arrived at the given event-loop time in seconds."""
        self.sent += 1
        self._window_of(arrival).sent += 1

    def record_latency(self, kind: str, arrival: float, now: float) -> None:
        """Records the latency of one answer.

        Args:
            kind: Kind of answer; completed jobs have kinds that begin with
                "complete".
            arrival: Event-loop time at which the job arrived, in seconds.
            now: Event-loop time of the answer, in seconds.
        """
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
        """Returns the counts and the latency percentiles in milliseconds."""
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
    """Returns the latency that the entry adds to direct calls, by percentile.

    Values are in milliseconds: the percentile of the jobs sent to the entry
    minus the same percentile of the direct calls of the same kind. Kinds
    without direct calls are left out.
    """
    added_ms = {}
    for kind, histogram in sorted(entry.histograms.items()):
        baseline = direct.histograms.get(kind)
        if baseline is not None:
            added_ms[kind] = {
                name: round(
                    _percentile_ms(histogram, p) - _percentile_ms(baseline, p),
                    3,
                )
                for name, p in PERCENTILES.items()
            }
    return added_ms


def make_rng(seed: int, name: str) -> random.Random:
    """Returns a random generator that depends only on the seed and the name."""
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
