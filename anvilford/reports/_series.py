"""Aggregates log lines of entries into counts and delays over time."""

import collections
import datetime
from collections.abc import Iterable
from typing import Any

import attrs

from anvilford.captured_logs import read_lines

# Outcomes of requests, in the order in which the plots stack them.
OUTCOMES = ("served", "refused", "lost")
# HTTP statuses that count as "served" and "refused"; any other is "lost".
SERVED_STATUS = 200
REFUSAL_STATUSES = (429, 503)


@attrs.define
class LogSummary:
    """Figures aggregated from the log lines of all entries of a site.

    All times are relative to the earliest line.

    Attributes:
        duration_s: Number of whole seconds that the lines cover, counted from
            the earliest line and including the second of the latest line.
        by_second: Number of requests by second and outcome.
        by_zone: Number of requests by zone of the entry and outcome; the zone
            is "unknown" if the line "started" of the entry is missing.
        by_queue: Number of requests by queue and outcome; the queue is "none"
            if the line names none.
        start_delays_ms: Times from the arrival of a job to its first start, in
            milliseconds, by second of the start.
        failures_by_reason: Number of requests that were not served (refused or
            lost), by reason.
        events: Leader changes and starts and stops of entry processes, as
            pairs (time in seconds, text).
        lines_left_out: Log lines that entries did not write because of their
            rate limit or because their output was blocked.
    """

    duration_s: int = 0
    by_second: dict[int, collections.Counter] = attrs.field(factory=dict)
    by_zone: dict[str, collections.Counter] = attrs.field(factory=dict)
    by_queue: dict[str, collections.Counter] = attrs.field(factory=dict)
    start_delays_ms: dict[int, list[int]] = attrs.field(factory=dict)
    failures_by_reason: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    events: list[tuple[float, str]] = attrs.field(factory=list)
    lines_left_out: int = 0


def summarize_logs(texts: Iterable[str]) -> LogSummary:
    """Aggregates captured log lines.

    Args:
        texts: Lines of any number of entries, in any order. Text before the
            first brace of a line is ignored, and so are lines that are not
            log lines of entries.

    Returns:
        Figures of all lines; an empty summary if there are none.
    """
    lines = sorted(_read_timestamped_lines(texts), key=lambda line: line["at"])
    summary = LogSummary()
    if not lines:
        return summary
    start = lines[0]["at"]
    zones = {
        line["node"]: line["zone"]
        for line in lines
        if line["message"] == "started" and "zone" in line
    }
    leader = None
    for line in lines:
        at = line["at"] - start
        summary.duration_s = max(summary.duration_s, int(at) + 1)
        match line["message"]:
            case "request answered" | "caller gone" | "request refused":
                _count_request(summary, line, int(at), zones)
            case "job started":
                waits = summary.start_delays_ms.setdefault(int(at), [])
                waits.append(int(line.get("waited_ms", 0)))
            case "leader changed" if line.get("leader") not in (None, leader):
                leader = line["leader"]
                summary.events.append((at, f"{leader} leads"))
            case "started" | "stop requested" as message:
                summary.events.append((at, f"{line.get('node')} {message}"))
            case "log lines left out":
                summary.lines_left_out += line.get("omitted", 0) + line.get(
                    "dropped", 0
                )
    return summary


def _read_timestamped_lines(texts: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Yields the lines of entries with their Unix time in seconds as `at`."""
    for line in read_lines(texts):
        try:
            moment = datetime.datetime.fromisoformat(line["time"])
        except (ValueError, TypeError):
            # Other programs also write JSON lines with `message` and `time`,
            # but their time may have another format.
            continue
        yield line | {"at": moment.timestamp()}


def _count_request(
    summary: LogSummary,
    line: dict[str, Any],
    second: int,
    zones: dict[str, str],
) -> None:
    """Adds one finished request to the counts of a summary.

    Args:
        summary: Summary to update.
        line: Log line that reports the end of the request.
        second: Second in which the line was written, from the earliest line.
        zones: Zone of each entry by the name of its node.
    """
    status = line.get("status", 0)
    outcome = "lost"
    if status == SERVED_STATUS:
        outcome = "served"
    elif status in REFUSAL_STATUSES:
        outcome = "refused"
    if outcome != "served":
        summary.failures_by_reason[str(line.get("reason"))] += 1
    zone = zones.get(line.get("node", ""), "unknown")
    for table, key in (
        (summary.by_second, second),
        (summary.by_zone, zone),
        (summary.by_queue, str(line.get("queue", "none"))),
    ):
        table.setdefault(key, collections.Counter())[outcome] += 1
