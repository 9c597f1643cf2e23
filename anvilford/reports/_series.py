"""Turns log lines into figures over time."""

import collections
import datetime
from collections.abc import Iterable
from typing import Any

import attrs

from anvilford.captured_logs import read_lines

# The outcomes of requests, in the order in which plots stack them.
OUTCOMES = ("served", "refused", "lost")
SERVED = 200
REFUSALS = (429, 503)


@attrs.define
class LogSummary:
    """What the lines of all entries tell of some time.

    Attributes:
        seconds: Length, in whole seconds from the first line.
        outcomes: Requests by second and outcome.
        by_zone: Requests by zone of the entry and outcome.
        by_queue: Requests by queue and outcome.
        waits_ms: Time from arrival to first start, by second, in ms.
        refusals: Requests that were not served, by reason.
        events: Times of changes of the leader and of processes, as
            (seconds, text).
        left_out: Lines that entries left out to keep within their budget.
    """

    seconds: int = 0
    outcomes: dict[int, collections.Counter] = attrs.field(factory=dict)
    by_zone: dict[str, collections.Counter] = attrs.field(factory=dict)
    by_queue: dict[str, collections.Counter] = attrs.field(factory=dict)
    waits_ms: dict[int, list[int]] = attrs.field(factory=dict)
    refusals: collections.Counter = attrs.field(factory=collections.Counter)
    events: list[tuple[float, str]] = attrs.field(factory=list)
    left_out: int = 0


def summarize_logs(texts: Iterable[str]) -> LogSummary:
    """Reads captured lines; text before the first brace is ignored.

    Args:
        texts: Lines of any number of entries, in any order.
    """
    lines = sorted(_read(texts), key=lambda line: line["at"])
    day = LogSummary()
    if not lines:
        return day
    start = lines[0]["at"]
    zones = {
        line["node"]: line["zone"]
        for line in lines
        if line["message"] == "started" and "zone" in line
    }
    leader = None
    for line in lines:
        at = line["at"] - start
        day.seconds = max(day.seconds, int(at) + 1)
        match line["message"]:
            case "request answered" | "caller gone" | "request refused":
                _count(day, line, int(at), zones)
            case "job started":
                waits = day.waits_ms.setdefault(int(at), [])
                waits.append(int(line.get("waited_ms", 0)))
            case "leader changed" if line.get("leader") not in (None, leader):
                leader = line["leader"]
                day.events.append((at, f"{leader} leads"))
            case "started" | "stop requested" as message:
                day.events.append((at, f"{line.get('node')} {message}"))
            case "log lines left out":
                day.left_out += line.get("omitted", 0) + line.get("dropped", 0)
    return day


def _read(texts: Iterable[str]) -> Iterable[dict[str, Any]]:
    """Lines with their moment as `at`, in seconds."""
    for line in read_lines(texts):
        try:
            moment = datetime.datetime.fromisoformat(line["time"])
        except (ValueError, TypeError):
            continue  # Of another program that writes JSON as well.
        yield line | {"at": moment.timestamp()}


def _count(
    day: LogSummary, line: dict[str, Any], second: int, zones: dict[str, str]
) -> None:
    status = line.get("status", 0)
    outcome = "lost"
    if status == SERVED:
        outcome = "served"
    elif status in REFUSALS:
        outcome = "refused"
    if outcome != "served":
        day.refusals[str(line.get("reason"))] += 1
    zone = zones.get(line.get("node", ""), "unknown")
    for table, key in (
        (day.outcomes, second),
        (day.by_zone, zone),
        (day.by_queue, str(line.get("queue", "none"))),
    ):
        table.setdefault(key, collections.Counter())[outcome] += 1
