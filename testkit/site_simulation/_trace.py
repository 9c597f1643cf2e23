"""What was seen in a simulation, and the check of its runs."""

import asyncio
import collections
import contextlib
import itertools
import logging
import math
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from testkit.site_simulation._callers import Call
from testkit.site_simulation._loop import CURRENT_PROCESS
from testkit.site_simulation._targets import SimulatedTarget

# Bits of a run number below the fencing token of its leader.
RUN_COUNT_BITS = 4
# Lines of the log that show what an entry knew, and how long before and after
# two runs of a task.
LEADERSHIP_LINES = (
    "leader changed",
    "stepped down as leader",
    "claiming all targets with a higher fence",
    "process was suspended; its leadership may be lost",
)
TRACE_BEFORE_S = 6.0
TRACE_AFTER_S = 1.5


@attrs.frozen
class Line:
    """A line of an entry's log, or an event of the simulation.

    Attributes:
        at: Time in seconds.
        source: Name of the entry; "event" for an event.
        text: The text.
        job: Id of the job that it names; empty for none.
    """

    at: float
    source: str
    text: str
    job: str = ""


@attrs.frozen
class Run:
    """A run of a task.

    Attributes:
        task: Name of the task.
        run: Run number.
        target: Id of the target.
        started_at: Time of its start, in seconds.
        ended_at: Time of its end; infinity if it goes on.
        how: How it ended.
    """

    task: str
    run: int
    target: str
    started_at: float
    ended_at: float
    how: str

    @property
    def fence(self) -> int:
        """Fencing token of the leader that started it."""
        return self.run >> RUN_COUNT_BITS


class Journal(logging.Handler):
    """Collects the log lines of all entries and the events.

    Attributes:
        lines: The lines, in order.
    """

    def __init__(self):
        super().__init__(logging.INFO)
        self.lines: list[Line] = []
        self._standard = set(
            logging.LogRecord("", 0, "", 0, "", None, None).__dict__
        ) | {"job", "message"}

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line of an entry's log."""
        process = CURRENT_PROCESS.get()
        fields = " ".join(
            f"{key}={value}"
            for key, value in record.__dict__.items()
            if key not in self._standard
        )
        if record.exc_info and record.exc_info[1] is not None:
            fields += f" exception={record.exc_info[1]!r}"
        self.lines.append(
            Line(
                asyncio.get_running_loop().time(),
                process.name if process else "",
                f"{record.msg} {fields}",
                getattr(record, "job", ""),
            )
        )

    def add_event(self, text: str) -> None:
        """Adds an event of the simulation."""
        self.lines.append(
            Line(asyncio.get_running_loop().time(), "event", text)
        )

    def add_exception(self, loop: object, context: dict) -> None:
        """Adds an exception that no task has handled."""
        del loop
        exception = context.get("exception")
        self.add_event(f"{context['message']} exception={exception!r}")

    @contextlib.contextmanager
    def collecting(self) -> Iterator[None]:
        """Receives the log of this process meanwhile."""
        logger = logging.getLogger("anvilford")
        level, propagates = logger.level, logger.propagate
        logger.addHandler(self)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        try:
            yield
        finally:
            logger.removeHandler(self)
            logger.setLevel(level)
            logger.propagate = propagates


def list_runs(targets: Iterable[SimulatedTarget]) -> dict[str, list[Run]]:
    """Returns all runs by task, in the order of their starts.

    Times are those of the simulation, not of the targets' clocks.
    """
    runs = collections.defaultdict(list)
    for target in targets:
        ends = collections.defaultdict(list)
        for at, task, run, how in target.model.ends:
            ends[task, run].append((at, how.value))
        for at, task, run in target.model.starts:
            # After a restart, a target accepts the number of an earlier run.
            later = [end for end in ends[task, run] if end[0] >= at]
            ended_at, how = min(later, default=(math.inf, "goes on"))
            runs[task].append(
                Run(
                    task,
                    run,
                    target.name,
                    at / target.rate,
                    ended_at / target.rate,
                    how,
                )
            )
    for spans in runs.values():
        spans.sort(key=lambda run: run.started_at)
    return runs


def find_overlaps(runs: dict[str, list[Run]]) -> list[tuple[Run, Run]]:
    """Returns each two runs of a task that were active at the same time."""
    return [
        (a, b)
        for spans in runs.values()
        for a, b in itertools.combinations(spans, 2)
        if a.ended_at > b.started_at + 1e-6
    ]


def describe_overlap(
    first: Run,
    second: Run,
    calls: Iterable[Call],
    lines: Iterable[Line],
    origin: float,
) -> str:
    """Returns what happened to a job with two runs of a task at once.

    Args:
        first: The run that began first.
        second: The other one.
        calls: Calls of all jobs.
        lines: Log lines and events.
        origin: Time from which the times in the text are counted.
    """
    job_id = first.task.partition(".")[0]
    begins = second.started_at - TRACE_BEFORE_S
    ends = second.started_at + TRACE_AFTER_S
    own_calls = [call for call in calls if call.job_id == job_id]
    rows = [
        (
            run.started_at,
            f"RUN   {run.task} run {run.run} (fence {run.fence})"
            f" at {run.target} until {run.ended_at - origin:.3f}: {run.how}",
        )
        for run in (first, second)
    ]
    for call in own_calls:
        rows.append((call.sent_at, f"CALL  to {call.entry}"))
        rows.append(
            (
                call.ended_at,
                f"CALL  at {call.entry} ended: {call.how}" f" {call.status}",
            )
        )
        begins = min(begins, call.sent_at - 1.0)
    for line in lines:
        is_shown = line.job == job_id or (
            begins <= line.at <= ends
            and (
                line.source == "event" or line.text.startswith(LEADERSHIP_LINES)
            )
        )
        if is_shown:
            rows.append((line.at, f"{line.source:5} {line.text}"))
    rows.sort(key=lambda row: row[0])
    return "\n".join(f"    {at - origin:8.3f} {text}" for at, text in rows)
