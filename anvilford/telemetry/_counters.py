"""Counters and latency histograms of one process."""

import io
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable

import attrs
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter

PREFIX = "anvilford_"
LARGEST_US = 3_600_000_000
# Two digits keep a histogram at 27 kB; three would need 200 kB.
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Series = tuple[str, tuple[tuple[str, str], ...]]


@attrs.define
class Latency:
    """Latencies of one series.

    Attributes:
        histogram: Values in microseconds.
        total: Sum in seconds; the histogram knows it only approximately.
    """

    histogram: HdrHistogram
    total: float = 0.0


class Counters:
    """Counters and latencies by name and labels; safe to use in any thread.

    Attributes:
        clock: Unix time in seconds.
        max_series: Most combinations of name and labels, so that labels with
            many values can't exhaust the memory. Further ones are only
            counted, under "series_dropped".
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.time,
        max_series: int = 2000,
    ):
        self.clock = clock
        self.max_series = max_series
        self._started = clock()
        self._lock = threading.Lock()
        self._counts: dict[Series, int] = {}
        self._latencies: dict[Series, Latency] = {}

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: Name in lower case with underscores.
            amount: At least 0.
            **labels: Label values by label name.
        """
        series = (name, _label_pairs(labels))
        with self._lock:
            if series in self._counts or self._has_room():
                self._counts[series] = self._counts.get(series, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a latency.

        Args:
            name: Name in lower case with underscores, without a unit.
            seconds: The latency; more than an hour counts as an hour.
            **labels: Label values by label name.
        """
        series = (name, _label_pairs(labels))
        value_us = min(max(round(seconds * 1e6), 1), LARGEST_US)
        with self._lock:
            latency = self._latencies.get(series)
            if latency is None:
                if not self._has_room():
                    return
                histogram = HdrHistogram(1, LARGEST_US, SIGNIFICANT_DIGITS)
                latency = self._latencies[series] = Latency(histogram)
            latency.histogram.record_value(value_us)
            latency.total += seconds

    def count(self, name: str, **labels: str) -> int:
        """Sum of a counter over all series that have these label values."""
        wanted = labels.items()
        with self._lock:
            return sum(
                value
                for (series_name, series_labels), value in self._counts.items()
                if series_name == name and wanted <= dict(series_labels).items()
            )

    def _has_room(self) -> bool:
        if len(self._counts) + len(self._latencies) < self.max_series:
            return True
        dropped = ("series_dropped", ())
        self._counts[dropped] = self._counts.get(dropped, 0) + 1
        return False

    def prometheus_text(self) -> str:
        """Writes everything in the Prometheus text format."""
        with self._lock:
            counts = sorted(self._counts.items())
            latencies = [
                (series, _summarize(latency))
                for series, latency in sorted(
                    self._latencies.items(), key=lambda item: item[0]
                )
            ]
        lines: list[str] = []
        previous = None
        for (name, labels), value in counts:
            if name != previous:
                lines.append(f"# TYPE {PREFIX}{name}_total counter")
                previous = name
            lines.append(_sample(f"{name}_total", labels, value))
        for (name, labels), samples in latencies:
            if name != previous:
                lines.append(f"# TYPE {PREFIX}{name}_seconds summary")
                previous = name
            for suffix, extra, value in samples:
                lines.append(
                    _sample(f"{name}_seconds{suffix}", labels + extra, value)
                )
        return "\n".join(lines) + "\n"

    def hdr_log(self) -> str:
        """Writes all latencies since the start in hdrhistogram's log format.

        Recorded values are microseconds; the interval maximum of each line is
        in milliseconds. The tag is the name, followed by the labels.
        """
        output = io.StringIO()
        writer = HistogramLogWriter(output)
        writer.output_log_format_version()
        writer.output_comment("[values in us, Interval_Max in ms]")
        writer.output_legend()
        now = self.clock()
        with self._lock:
            for series, latency in sorted(
                self._latencies.items(), key=lambda item: item[0]
            ):
                # The writer knows no tags, but its reader does.
                output.write(f"Tag={_tag(*series)},")
                writer.output_interval_histogram(
                    latency.histogram, self._started, now, 1000.0
                )
        return output.getvalue()


def _label_pairs(labels: dict[str, str]) -> tuple[tuple[str, str], ...]:
    pairs = labels.items()
    # Sorting makes the order of arguments irrelevant; most calls pass one.
    return tuple(sorted(pairs) if len(labels) > 1 else pairs)


def _summarize(
    latency: Latency,
) -> list[tuple[str, tuple[tuple[str, str], ...], float]]:
    histogram = latency.histogram
    samples = [
        (
            "",
            (("quantile", str(quantile)),),
            histogram.get_value_at_percentile(quantile * 100) / 1e6,
        )
        for quantile in QUANTILES
    ]
    samples.append(("_max", (), histogram.get_max_value() / 1e6))
    samples.append(("_sum", (), latency.total))
    samples.append(("_count", (), histogram.get_total_count()))
    return samples


def _sample(name: str, labels: Iterable[tuple[str, str]], value: float) -> str:
    pairs = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    return (
        f"{PREFIX}{name}{{{pairs}}} {value}"
        if pairs
        else (f"{PREFIX}{name} {value}")
    )


def _escape(text: str) -> str:
    escaped = str(text).replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def _tag(name: str, labels: Iterable[tuple[str, str]]) -> str:
    tag = ";".join((name, *(f"{key}={value}" for key, value in labels)))
    # The format allows no commas and white space in tags.
    return "_".join(tag.replace(",", "_").split())
