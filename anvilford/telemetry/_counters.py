"""Counters and latency histograms of one process, and their exports."""

import io
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable

import attrs
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter

METRIC_NAME_PREFIX = "anvilford_"
MAX_LATENCY_US = 3_600_000_000
# A histogram takes 27 kB of memory with two significant digits, and 200 kB
# with three.
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

# Name of a metric and its sorted (label name, label value) pairs.
Series = tuple[str, tuple[tuple[str, str], ...]]


@attrs.define
class LatencySeries:
    """Latencies recorded for one metric name and one set of label values.

    Attributes:
        histogram: Distribution of the latencies, in microseconds.
        total: Exact sum of the latencies, in seconds. The histogram rounds
            values to its precision, so a sum derived from it is approximate.
    """

    histogram: HdrHistogram
    total: float = 0.0


class Counters:
    """Registry of counters and latency histograms; thread-safe.

    Attributes:
        clock: Returns the Unix time in seconds.
        max_series: Maximum number of series (combinations of a name and label
            values), which bounds the memory if a label takes many values. An
            update that would create a further series is discarded and counted
            in the counter "series_dropped".
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
        self._latencies: dict[Series, LatencySeries] = {}

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter.

        Args:
            name: Name of the counter in lower case with underscores, without
                the suffix "_total".
            amount: Number to add, at least 0.
            **labels: Label values by label name.
        """
        series = (name, _label_pairs(labels))
        with self._lock:
            if series in self._counts or self._may_add_series():
                self._counts[series] = self._counts.get(series, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a latency.

        Args:
            name: Name of the metric in lower case with underscores, without
                the suffix "_seconds".
            seconds: Latency in seconds. The histogram records values below
                1 us as 1 us, and values above one hour as one hour.
            **labels: Label values by label name.
        """
        series = (name, _label_pairs(labels))
        value_us = min(max(round(seconds * 1e6), 1), MAX_LATENCY_US)
        with self._lock:
            latency = self._latencies.get(series)
            if latency is None:
                if not self._may_add_series():
                    return
                histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                latency = self._latencies[series] = LatencySeries(histogram)
            latency.histogram.record_value(value_us)
            latency.total += seconds

    def count(self, name: str, **labels: str) -> int:
        """Returns the sum of a counter over all series with these labels.

        Args:
            name: Name of the counter.
            **labels: Label values that a series must have to be included; a
                series may have further labels.
        """
        wanted = labels.items()
        with self._lock:
            return sum(
                value
                for (series_name, series_labels), value in self._counts.items()
                if series_name == name and wanted <= dict(series_labels).items()
            )

    def _may_add_series(self) -> bool:
        if len(self._counts) + len(self._latencies) < self.max_series:
            return True
        dropped = ("series_dropped", ())
        self._counts[dropped] = self._counts.get(dropped, 0) + 1
        return False

    def prometheus_text(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        with self._lock:
            counts = sorted(self._counts.items())
            latencies = [
                (series, _summary_samples(latency))
                for series, latency in sorted(
                    self._latencies.items(), key=lambda item: item[0]
                )
            ]
        lines: list[str] = []
        previous = None
        for (name, labels), value in counts:
            if name != previous:
                lines.append(f"# TYPE {METRIC_NAME_PREFIX}{name}_total counter")
                previous = name
            lines.append(_format_sample(f"{name}_total", labels, value))
        for (name, labels), samples in latencies:
            if name != previous:
                lines.append(
                    f"# TYPE {METRIC_NAME_PREFIX}{name}_seconds summary"
                )
                previous = name
            for suffix, extra, value in samples:
                lines.append(
                    _format_sample(
                        f"{name}_seconds{suffix}", labels + extra, value
                    )
                )
        return "\n".join(lines) + "\n"

    def hdr_log(self) -> str:
        """Returns all latencies since the start in the HdrHistogram log format.

        Each series is one line, tagged with the metric name and the labels.
        Recorded values are in microseconds, and the interval maximum of each
        line is in milliseconds.
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
                # HistogramLogWriter cannot write the tag, which
                # HistogramLogReader expects at the start of the line.
                output.write(f"Tag={_format_tag(*series)},")
                writer.output_interval_histogram(
                    latency.histogram, self._started, now, 1000.0
                )
        return output.getvalue()


def _label_pairs(labels: dict[str, str]) -> tuple[tuple[str, str], ...]:
    pairs = labels.items()
    # Sorted so that the order of the keyword arguments does not create
    # separate series. Most calls pass a single label, which needs no sorting.
    return tuple(sorted(pairs) if len(labels) > 1 else pairs)


def _summary_samples(
    latency: LatencySeries,
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


def _format_sample(
    name: str, labels: Iterable[tuple[str, str]], value: float
) -> str:
    pairs = ",".join(
        f'{key}="{_escape_label_value(text)}"' for key, text in labels
    )
    return (
        f"{METRIC_NAME_PREFIX}{name}{{{pairs}}} {value}"
        if pairs
        else (f"{METRIC_NAME_PREFIX}{name} {value}")
    )


def _escape_label_value(text: str) -> str:
    escaped = str(text).replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def _format_tag(name: str, labels: Iterable[tuple[str, str]]) -> str:
    tag = ";".join((name, *(f"{key}={value}" for key, value in labels)))
    # Tags must not contain commas or white space in the HdrHistogram log
    # format.
    return "_".join(tag.replace(",", "_").split())
