"""What was seen in a play, and the check of its runs."""

import collections
import itertools
import math
from collections.abc import Iterable

import attrs

from standins.runner import FakeTargetServer


@attrs.frozen
class CallRecord:
    """A request of a caller and how it ended.

    Attributes:
        job_id: Job id.
        entry: Name of the entry.
        sent_at: Monotonic time of the request, in seconds.
        ended_at: Monotonic time of the end, in seconds.
        how: What ended it, as in `CallResult`.
        status: Status of the answer; 0 for none.
    """

    job_id: str
    entry: str
    sent_at: float
    ended_at: float
    how: str
    status: int


@attrs.frozen
class LeaderTerms:
    """Leaders of the whole site in a play.

    A leader of a single zone (`is_partial`) does not count.

    Attributes:
        leaderships: Terms in which an entry led, as (time, term, name), by
            time. The text of the time is that of the log.
    """

    leaderships: tuple[tuple[str, int, str], ...]

    @property
    def raised(self) -> int:
        """Number of terms that were raised."""
        return len(self.leaderships)

    @property
    def alternations(self) -> int:
        """How often a leader other than the last one began to lead."""
        names = [name for _, _, name in self.leaderships]
        return sum(a != b for a, b in itertools.pairwise(names))

    @property
    def shared(self) -> int:
        """Number of terms that two leaders had."""
        counts = collections.Counter(term for _, term, _ in self.leaderships)
        return sum(count > 1 for count in counts.values())


def read_terms(records: dict[str, list[dict]]) -> LeaderTerms:
    """Returns the leaders of the whole site, from the logs of the entries.

    Args:
        records: Log records of each entry by name.
    """
    leaderships = {
        (record["term"], name): record["time"]
        for name, lines in records.items()
        for record in reversed(lines)
        if record.get("message") == "leader changed"
        and record["leader"] == name
        and not record["is_partial"]
    }
    return LeaderTerms(
        tuple(
            sorted((at, term, name) for (term, name), at in leaderships.items())
        )
    )


# Ends of a call that the caller's connection caused.
BREAKS = ("fin", "reset", "silent", "unclosed")


@attrs.define
class CutReport:
    """Result of a play.

    Attributes:
        answers: Number of answers by status; 0 for none.
        resent: Number of times that a job was sent again.
        terms: Leaders of the whole site, as read from their logs.
        breaks: Number of callers' connections that broke, by the way.
        events: What happened when, in seconds after the start of traffic.
        overlaps: Each two runs of a task at the same time.
        calls: Calls of each job, in order.
    """

    answers: collections.Counter = attrs.field(factory=collections.Counter)
    resent: int = 0
    terms: LeaderTerms | None = None
    breaks: collections.Counter = attrs.field(factory=collections.Counter)
    events: list[str] = attrs.field(factory=list)
    overlaps: list[str] = attrs.field(factory=list)
    calls: dict[str, list[CallRecord]] = attrs.field(factory=dict)

    def add_call(self, call: CallRecord) -> None:
        """Counts a call that ended."""
        self.answers[call.status] += 1
        if call.how in BREAKS:
            self.breaks[call.how] += 1
        self.calls.setdefault(call.job_id, []).append(call)

    def describe_calls(
        self, job_id: str, zones: dict[str, str], started: float
    ) -> list[str]:
        """Returns a text for each call of a job.

        Args:
            job_id: Job id.
            zones: Zone of each entry.
            started: Monotonic time of the start of traffic.
        """
        return [
            f"{call.sent_at - started:.3f} to {call.ended_at - started:.3f}"
            f" {call.entry} ({zones[call.entry]}): {call.how} {call.status}"
            for call in self.calls.get(job_id, ())
        ]


@attrs.frozen(order=True)
class _Span:
    """Time of a run, in seconds after the start of traffic."""

    start: float
    end: float
    run: int
    place: str

    def __str__(self) -> str:
        return (
            f"run {self.run} on {self.place} {self.start:.3f} to {self.end:.3f}"
        )


def find_overlaps(
    servers: Iterable[FakeTargetServer], started: float
) -> list[str]:
    """Returns a text for each two runs of a task at the same time.

    Args:
        servers: All targets.
        started: Monotonic time of the start of traffic.
    """
    spans = collections.defaultdict(list)
    for server in servers:
        target = server.target
        target.advance(server.now())
        place = f"{server.name} ({server.zone})"
        ends = collections.defaultdict(list)
        for at, task, run, _ in target.ends:
            ends[task, run].append(at)
        for at, task, run in target.starts:
            # After a restart, a target accepts the number of an earlier run.
            later_ends = (end for end in ends[task, run] if end >= at)
            end = min(later_ends, default=math.inf)
            start, end = map(server.monotonic_time, (at, end))
            spans[task].append(
                _Span(start - started, end - started, run, place)
            )
    return [
        f"{task}: {a}, {b}"
        for task, runs in sorted(spans.items())
        for a, b in itertools.combinations(sorted(runs), 2)
        if a.end > b.start
    ]
