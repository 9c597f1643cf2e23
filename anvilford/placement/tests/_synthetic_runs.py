"""Runs with known slowdowns, for the tests of the interference monitor."""

import heapq
import itertools
import math
import random

import attrs

from anvilford.placement._health import record_success
from anvilford.placement._interference import InterferenceMonitor
from anvilford.placement._model import JobSpec
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import QueuePolicy
from anvilford.placement._model import Resources
from anvilford.placement._model import StepSpec
from anvilford.placement._orders import Decision
from anvilford.placement._state import Job
from anvilford.placement._state import Run
from anvilford.placement._state import RunPhase
from anvilford.placement._state import Target
from anvilford.placement.tests._shared import make_target

TICK_S = 0.02
# Share of the tasks that run seven times longer than the rest, as at the
# users' sites.
LONG_TASK_SHARE = 0.03


@attrs.frozen
class SyntheticKind:
    """A queue with identical jobs.

    Attributes:
        name: Name of the queue.
        per_second: Rate of its jobs.
        tasks: Number of tasks of a job.
        seconds: Median run time of a task at speed 1.
        bias: Factor by which the estimates of all jobs are too long.
        noise: Standard deviation of the logarithm of the estimates' errors.
        only_on: Ids of the only targets that run its tasks; empty for any.
    """

    name: str
    per_second: float
    tasks: int
    seconds: float
    bias: float = 1.0
    noise: float = 0.4
    only_on: tuple[str, ...] = ()


@attrs.define(eq=False)
class _Work:
    """A run with the rest of its work, in seconds at the present slowdown."""

    run: Run
    name: str
    rest: float
    updated_at: float
    slowdown: float = 1.0
    version: int = 0


class SyntheticSite:
    """Targets that run tasks of several kinds, placed at random.

    Attributes:
        monitor: The monitor, which gets each run and no other knowledge.
        targets: Targets as the placer knows them, by id.
        speeds: True speeds of the targets, by id.
        slowdowns: Factor on the run time of a kind while another kind runs on
            the same target, by the names of both. Tests change it.
        slow_for: Factor on the run time of a kind on one target, by the id of
            the target and the name of the kind.
        decisions: Decisions of the monitor, with their times.
    """

    def __init__(
        self,
        kinds: list[SyntheticKind],
        seed: int,
        targets: int = 48,
        slots: int = 3,
        slowdowns: dict[tuple[str, str], float] | None = None,
        options: PlacementOptions | None = None,
    ):
        self.rng = random.Random(seed)
        self.slots = slots
        self.slowdowns = slowdowns or {}
        self.now = 1000.0
        self.monitor = InterferenceMonitor(
            options or PlacementOptions(), self.now
        )
        self.targets: dict[str, Target] = {}
        self.speeds: dict[str, float] = {}
        for number in range(targets):
            record = make_target(f"t{number}").record
            self.targets[record.target_id] = Target(record, record.capacity)
            self.speeds[record.target_id] = (0.6, 1.0, 1.6)[number % 3]
        self.slow_for: dict[tuple[str, str], float] = {}
        self.decisions: list[tuple[float, Decision]] = []
        self._work: dict[str, list[_Work]] = {name: [] for name in self.targets}
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self._stopped: set[str] = set()
        self.add_kinds(kinds)
        self._schedule(self.now, self._tick)

    def run(self, seconds: float) -> None:
        """Continues for a time."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = until

    def add_kinds(self, kinds: list[SyntheticKind]) -> None:
        """Lets jobs of further kinds arrive from now on."""
        for kind in kinds:
            self._schedule(self.now, self._arrive, kind)

    def stop_kinds(self, names: set[str]) -> None:
        """Lets no more jobs of some kinds arrive."""
        self._stopped |= names

    def known(self) -> dict[tuple[str, str], float]:
        """Returns the ratios of the known pairs, by the names of the kinds."""
        return {
            (kind[0], other[0]): math.exp(pair.log_ratio)
            for kind, other, pair in self.monitor.known_pairs()
        }

    def _schedule(self, when: float, function, *arguments) -> None:
        entry = (when, next(self._numbers), function, arguments)
        heapq.heappush(self._events, entry)

    def _tick(self) -> None:
        for decision in self.monitor.evaluate(self.now):
            self.decisions.append((self.now, decision))
        self._schedule(self.now + TICK_S, self._tick)

    def _arrive(self, kind: SyntheticKind) -> None:
        """Starts the tasks of a job where there is room."""
        if kind.name in self._stopped:
            return
        after = self.rng.expovariate(kind.per_second)
        self._schedule(self.now + after, self._arrive, kind)
        median = kind.seconds * self.rng.lognormvariate(0.0, 0.4)
        estimate = median * kind.bias * self.rng.lognormvariate(0.0, kind.noise)
        step = StepSpec(
            kind.tasks, Resources(6800, 64), max(int(estimate * 1000), 1)
        )
        job = Job(
            f"{next(self._numbers):016x}",
            QueuePolicy(kind.name, "line", 0, 3, 1.6, 60),
            JobSpec("", (step,)),
            self.now,
            self.now + 2.0,
        )
        job.initialize()
        for task in job.tasks:
            free = [
                name
                for name in self.targets
                if len(self._work[name]) < self.slots
                and (not kind.only_on or name in kind.only_on)
            ]
            if not free:
                return
            seconds = median * self.rng.lognormvariate(0.0, 0.15)
            if self.rng.random() < LONG_TASK_SHARE:
                seconds *= 7
            run = Run(
                task, task.name, 17, step.need, RunPhase.RUNNING,
                self.now - 0.001, self.now,
            )  # fmt: skip
            name = self.rng.choice(free)
            self.targets[name].reserve(run)
            seconds *= self.slow_for.get((name, kind.name), 1.0)
            work = _Work(run, kind.name, seconds / self.speeds[name], self.now)
            self._work[name].append(work)
            self._update(name)

    def _update(self, target: str) -> None:
        """Adapts the rest of each run to what runs beside it now."""
        for work in self._work[target]:
            work.rest -= self.now - work.updated_at
            work.updated_at = self.now
            beside = {w.name for w in self._work[target] if w is not work}
            slowdown = math.prod(
                self.slowdowns.get((work.name, other), 1.0) for other in beside
            )
            work.rest *= slowdown / work.slowdown
            work.slowdown = slowdown
            work.version += 1
            end = self.now + max(work.rest, 0.0)
            self._schedule(end, self._end, target, work, work.version)

    def _end(self, name: str, work: _Work, version: int) -> None:
        if work.version != version:
            return
        target = self.targets[name]
        slowdown = self.monitor.record_success(target, work.run, self.now)
        record_success(target, work.run, self.now, slowdown)
        target.release(work.run)
        self.monitor.record_end(target, work.run, self.now)
        self._work[name].remove(work)
        self._update(name)
