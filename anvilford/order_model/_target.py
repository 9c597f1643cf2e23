"""Simulated target that runs tasks while its lease is valid."""

import collections
import itertools
import math
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from anvilford.placement import Accepted
from anvilford.placement import EndedTask
from anvilford.placement import LifeReplaced
from anvilford.placement import NoAnswer
from anvilford.placement import OrderAnswer
from anvilford.placement import Poll
from anvilford.placement import PollAnswer
from anvilford.placement import Refusal
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import RunEnd
from anvilford.placement import RunningTask
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord

# Longest lease that a target grants, counted from the time of the request.
MAX_LEASE_MS = 1000
# Time that a target takes to carry out a stop, the longest that the platform
# allows.
STOP_TIME_S = 0.05


@attrs.define
class _RunningWork:
    """A run in progress.

    Attributes:
        run: Run number.
        need: Resources that the run uses.
        started_at: Time of the start, in seconds.
        run_time_s: Time that the run takes at the target's speed beside the
            runs that are there now, in seconds.
        fails: True if the run fails at its end.
        stopped_at: Time at which a requested stop takes effect.
        kind: Name of the kind of its job.
        slowdown: Factor on the run time by the runs that are there now.
    """

    run: int
    need: Resources
    started_at: float
    run_time_s: float
    fails: bool = False
    stopped_at: float = math.inf
    kind: str = ""
    slowdown: float = 1.0


class FakeTarget:
    """Target on a virtual clock with the rules of the platform's targets.

    All times that methods receive are virtual times in seconds.

    Attributes:
        record: Description of the target in the platform's list.
        speed: Speed of the target; run times are divided by it.
        fails_all_tasks: If True, running tasks fail at the next `advance`.
        is_stalled: If True, no task makes progress.
        ignores_stops: If True, stops get no answer and have no effect.
        accepts_any_incarnation: If True, an order is accepted whatever process
            start time it names. The platform's protocol names only the id.
        is_down: If True, the process does not exist; set by `crash`.
        slowdowns: Factor on the run time of a kind of job while another kind
            runs beside it, by the names of both. Kinds without one do not slow
            each other down.
        running: Runs in progress by task name.
        unacknowledged_ends: Ended runs that no poll has acknowledged yet.
        highest_runs: Highest run number that ended or was stopped, by task
            name. Starts up to this number are refused.
        fence: Highest fencing token seen.
        lease_end_ms: End of the lease on the target's own clock.
        last_end_sequence: Sequence number of the last ended run.
        starts: All starts, as (time, task, run).
        ends: All ends, as (time, task, run, how).
    """

    def __init__(self, record: TargetRecord, speed: float = 1.0):
        self.record = record
        self.speed = speed
        self.fails_all_tasks = False
        self.is_stalled = False
        self.ignores_stops = False
        self.accepts_any_incarnation = False
        self.is_down = False
        self.slowdowns: Mapping[tuple[str, str], float] = {}
        self.running: dict[str, _RunningWork] = {}
        self.unacknowledged_ends: list[EndedTask] = []
        self.highest_runs: dict[str, int] = {}
        self.fence = 0
        self.lease_end_ms = 0
        self.last_end_sequence = 0
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, RunEnd]] = []

    def clock_ms(self, now: float) -> int:
        """Returns the target's own clock, which differs from other clocks."""
        return int(now * 1000) + self.record.incarnation % 1_000_000

    def advance(self, now: float) -> None:
        """Ends the runs that are over by `now`, with the time of their end."""
        while self.slowdowns:
            end = self.next_completion()
            if end is None or end >= now:
                break
            self._end_due_runs(end)
            self._update_slowdowns(end)
        self._end_due_runs(now)
        self._update_slowdowns(now)

    def _update_slowdowns(self, now: float) -> None:
        """Adapts the end of each run to the runs that are beside it now."""
        if not self.slowdowns:
            return
        for task, work in self.running.items():
            others = {w.kind for t, w in self.running.items() if t != task}
            slowdown = math.prod(
                self.slowdowns.get((work.kind, other), 1.0) for other in others
            )
            elapsed = now - work.started_at
            rest = (work.run_time_s - elapsed) / work.slowdown
            work.run_time_s = elapsed + rest * slowdown
            work.slowdown = slowdown

    def _end_due_runs(self, now: float) -> None:
        lease_end = (self.lease_end_ms - self.clock_ms(0.0)) / 1000
        for task, work in list(self.running.items()):
            done = self._completion_time(work)
            if self.fails_all_tasks:
                self._end_run(task, RunEnd.FAILED, now)
            elif work.stopped_at <= min(now, done, lease_end):
                self._end_run(task, RunEnd.STOPPED, work.stopped_at)
            elif done <= min(now, lease_end):
                how = RunEnd.FAILED if work.fails else RunEnd.DONE
                self._end_run(task, how, done)
            elif lease_end <= now:
                self._end_run(task, RunEnd.LAPSED, lease_end)

    def crash(self, now: float) -> None:
        """Simulates a crash of the process; running tasks end as broken."""
        self.advance(now)
        for task in list(self.running):
            self._end_run(task, RunEnd.BROKEN, now)
        self.is_down = True

    def restart(self, incarnation: int, now: float) -> None:
        """Simulates a restart of the target's process.

        Running tasks end as broken. `starts` and `ends` are kept.

        Args:
            incarnation: Start time of the new process, Unix milliseconds.
            now: Time of the restart.
        """
        self.crash(now)
        self.is_down = False
        self.record = attrs.evolve(self.record, incarnation=incarnation)
        self.unacknowledged_ends.clear()
        self.highest_runs.clear()
        self.fence = self.lease_end_ms = self.last_end_sequence = 0

    def next_completion(self) -> float | None:
        """Returns when the next run completes or stops; None if none does."""
        end = min(
            (
                min(self._completion_time(work), work.stopped_at)
                for work in self.running.values()
            ),
            default=math.inf,
        )
        return end if end < math.inf else None

    def _completion_time(self, work: _RunningWork) -> float:
        """Returns when a run completes; infinity if it makes no progress."""
        if self.is_stalled:
            return math.inf
        return work.started_at + work.run_time_s

    def start(
        self,
        order: StartRun,
        need: Resources,
        seconds: float,
        now: float,
        fails: bool = False,
        kind: str = "",
    ) -> OrderAnswer:
        """Handles a request to start a run.

        Args:
            order: The request.
            need: Resources that the task uses.
            seconds: Run time of the task at speed 1.
            now: Time of the request.
            fails: True if the run fails at its end.
            kind: Name of the kind of the task's job.
        """
        self.advance(now)
        refusal = self._check_order(order.fence, order.incarnation)
        if refusal is not None:
            return refusal
        clock = self.clock_ms(now)
        if order.deadline_ms < clock:
            return Refused(Refusal.LATE, clock)
        self._extend_lease(order.deadline_ms, now)
        present = self.running.get(order.task)
        if present is not None and present.run == order.run:
            return Accepted(clock)
        if (
            order.run <= self.highest_runs.get(order.task, 0)
            or present is not None
        ):
            return Refused(Refusal.OLD_RUN, clock)
        used = Resources(0)
        for work in self.running.values():
            used = used.plus(work.need)
        if not need.fits_in(self.record.capacity.minus(used)):
            return Refused(Refusal.NO_ROOM, clock)
        self.running[order.task] = _RunningWork(
            order.run, need, now, seconds / self.speed, fails, kind=kind
        )
        self._update_slowdowns(now)
        self.starts.append((now, order.task, order.run))
        return Accepted(clock)

    def stop(self, order: StopRun, now: float) -> OrderAnswer:
        """Handles a request to stop a run."""
        if self.ignores_stops:
            return NoAnswer()
        self.advance(now)
        refusal = self._check_order(order.fence, order.incarnation)
        if refusal is not None:
            return refusal
        self.highest_runs[order.task] = max(
            self.highest_runs.get(order.task, 0), order.run
        )
        work = self.running.get(order.task)
        if work is not None and work.run <= order.run:
            work.stopped_at = min(work.stopped_at, now + STOP_TIME_S)
        return Accepted(self.clock_ms(now))

    def poll(self, order: Poll, now: float) -> PollAnswer:
        """Handles a poll.

        It answers at once. The simulation holds the answer back if the poll
        asks to wait for an end.
        """
        self.advance(now)
        refusal = self._check_order(order.fence, order.incarnation)
        if refusal is not None:
            return refusal
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms, now)
        self.unacknowledged_ends = [
            e
            for e in self.unacknowledged_ends
            if e.sequence > order.acknowledged
        ]
        return Report(
            self.clock_ms(now),
            tuple(
                RunningTask(task, work.run, self._progress_percent(work, now))
                for task, work in self.running.items()
            ),
            tuple(self.unacknowledged_ends),
            self.record.incarnation,
        )

    def _progress_percent(self, work: _RunningWork, now: float) -> int:
        if self.is_stalled:
            return 0
        return int(100 * (now - work.started_at) / work.run_time_s)

    def _check_order(self, fence: int, incarnation: int) -> OrderAnswer | None:
        """Returns why an order is refused, or None if it is accepted.

        The fencing token of an accepted order becomes the highest one seen.
        """
        if (
            incarnation != self.record.incarnation
            and not self.accepts_any_incarnation
        ):
            return LifeReplaced()
        if fence < self.fence:
            return Refused(Refusal.FENCE)
        self.fence = fence
        return None

    def _extend_lease(self, deadline_ms: int, now: float) -> None:
        limit = self.clock_ms(now) + MAX_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit))

    def _end_run(self, task: str, how: RunEnd, now: float) -> None:
        work = self.running.pop(task)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), work.run)
        self.last_end_sequence += 1
        self.unacknowledged_ends.append(
            EndedTask(self.last_end_sequence, task, work.run, how)
        )
        self.ends.append((now, task, work.run, how))


def overlapping_tasks(targets: Iterable[FakeTarget]) -> list[str]:
    """Returns the tasks of which two runs were active at the same time.

    Args:
        targets: All targets on which runs may have been started.
    """
    spans = collections.defaultdict(list)
    for target in targets:
        ends = collections.defaultdict(list)
        for at, task, run, _ in target.ends:
            ends[task, run].append(at)
        for at, task, run in target.starts:
            # After a restart, a target accepts the number of an earlier run.
            later_ends = (end for end in ends[task, run] if end >= at)
            spans[task].append((at, min(later_ends, default=math.inf)))
    return [
        task
        for task, runs in spans.items()
        if any(a[1] > b[0] for a, b in itertools.pairwise(sorted(runs)))
    ]
