"""Simulates a site with events drawn from a seed."""

import asyncio
import random

import attrs

from anvilford.placement import Resources
from anvilford.placement import TargetRecord
from anvilford.platform import CONFIGURATION_KEY
from anvilford.platform import OPERATOR_TABLE
from testkit.site_simulation._callers import Break
from testkit.site_simulation._callers import Call
from testkit.site_simulation._callers import Callers
from testkit.site_simulation._callers import HOST
from testkit.site_simulation._callers import PREFIX
from testkit.site_simulation._callers import TASK_CPU
from testkit.site_simulation._callers import Traffic
from testkit.site_simulation._entry import configuration
from testkit.site_simulation._entry import EntryProcess
from testkit.site_simulation._entry import simulated_components
from testkit.site_simulation._entry import Surroundings
from testkit.site_simulation._events import Events
from testkit.site_simulation._loop import run_outside
from testkit.site_simulation._loop import START_TIME_S
from testkit.site_simulation._loop import VirtualLoop
from testkit.site_simulation._network import Network
from testkit.site_simulation._store import SimulatedStore
from testkit.site_simulation._targets import SimulatedTarget
from testkit.site_simulation._trace import describe_overlap
from testkit.site_simulation._trace import find_overlaps
from testkit.site_simulation._trace import Journal
from testkit.site_simulation._trace import list_runs
from testkit.site_simulation._trace import Run

SERVICE = "tasks"
# Time before the first jobs, in which a leader is found, and calm time after
# them.
WARM_UP_S = 4.0
CALM_S = 8.0
# Time after the last job, within which all runs end.
COOL_DOWN_S = 12.0
MAX_CLOCK_ERROR = 0.02
# Range of the mean time between the beginnings of two events.
EVENT_PAUSE_S = (0.8, 3.0)
# Numbers of entries by zone.
LAYOUTS = ((2, 2, 2), (1, 3, 1), (3, 3, 3), (1, 3, 3, 1), (1, 1, 1))
TASKS_PER_TARGET = 4
# Range of the share of the targets that is in use, without events.
LOAD = (0.15, 0.5)


@attrs.frozen
class Options:
    """What to simulate.

    Attributes:
        seed: Determines everything else.
        length_s: Time during which jobs arrive, in seconds.
        silent_breaks: Whether callers leave before their deadline without
            closing their connection (known failure 32).
    """

    seed: int
    length_s: float = 60.0
    silent_breaks: bool = False


@attrs.frozen
class SimulationReport:
    """Result of a simulation.

    Attributes:
        options: What was simulated.
        calls: Calls of all jobs.
        calm_calls: Calls with connections that did not break, before the
            first event.
        runs: Number of runs.
        terms: Number of terms in which an entry led.
        overlaps: Each two runs of a task at the same time.
        traces: What happened to the job, for each overlap.
        exceptions: Exceptions that entries logged.
    """

    options: Options
    calls: list[Call]
    calm_calls: list[Call]
    runs: int
    terms: int
    overlaps: list[tuple[Run, Run]]
    traces: list[str]
    exceptions: list[str]

    @property
    def calm_answered_share(self) -> float:
        """Share of the calls in calm time that were answered with 200."""
        answered = sum(call.status == 200 for call in self.calm_calls)
        return answered / len(self.calm_calls) if self.calm_calls else 0.0

    def __str__(self) -> str:
        answered = sum(call.status == 200 for call in self.calls)
        return (
            f"seed {self.options.seed}: {len(self.overlaps)} overlaps,"
            f" {len(self.calls)} calls, {answered} answered,"
            f" {self.calm_answered_share:.1%} of those in calm time,"
            f" {self.runs} runs, {self.terms} terms,"
            f" {len(self.exceptions)} exceptions"
        )


class _Site:
    """One simulated site.

    Attributes:
        options: What to simulate.
        rng: Source of all chances.
        around: Network, store, targets and entries.
        journal: Log lines and events.
        callers: The callers.
        targets: All targets that there have been.
        layout: Number of entries by zone.
        targets_per_zone: Number of targets of each zone.
    """

    def __init__(self, options: Options, journal: Journal):
        self.options = options
        self.rng = random.Random(options.seed)
        store = SimulatedStore(random.Random(self.rng.random()))
        self.around = Surroundings(
            random.Random(self.rng.random()),
            Network(random.Random(self.rng.random())),
            store,
        )
        self.journal = journal
        self.targets: list[SimulatedTarget] = []
        breaks = (Break.FIN, Break.RESET, Break.UNCLOSED)
        if options.silent_breaks:
            breaks = (*breaks, Break.SILENT)
        traffic = Traffic(
            per_s=1.0,
            mean_s=self.rng.choice((0.08, 0.2, 0.6)),
            max_tasks=self.rng.randint(1, 2),
            long_share=self.rng.choice((0.0, 0.1, 0.6)),
            long_ratio=self.rng.uniform(4.0, 8.0),
            broken_share=self.rng.choice((0.05, 0.3, 0.6)),
            breaks=breaks,
        )
        self.layout = self.rng.choice(LAYOUTS)
        self.targets_per_zone = self.rng.randint(2, 3)
        slots = len(self.layout) * self.targets_per_zone * TASKS_PER_TARGET
        traffic.per_s = self.rng.uniform(*LOAD) * slots / traffic.mean_work_s
        self.callers = Callers(
            random.Random(self.rng.random()), traffic, self.around.processes
        )

    def add_target(self, zone: str) -> SimulatedTarget:
        """Adds a target and starts it."""
        number = len(self.targets)
        record = TargetRecord(
            f"t{number}",
            1_700_000_000_000 + 777 * number,
            f"t{number}:1",
            zone,
            SERVICE,
            False,
            0,
            Resources(TASKS_PER_TARGET * TASK_CPU, 16_000),
            (),
            0,
        )
        rate = 1.0 + self.rng.uniform(-MAX_CLOCK_ERROR, MAX_CLOCK_ERROR)
        target = SimulatedTarget(record, rate, self.around.store)
        self.targets.append(target)
        self.around.targets[record.address] = target
        run_outside(target.run())
        return target

    async def run(self) -> None:
        """Runs the site to its end."""
        self.around.store.put(
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            configuration(HOST, PREFIX, SERVICE),
        )
        layout = self.layout
        zones = "abcd"[: len(layout)]
        for _ in range(self.targets_per_zone):
            for zone in zones:
                self.add_target(zone)
        for zone, count in zip(zones, layout, strict=True):
            for number in range(count):
                EntryProcess(f"{zone}{number}", zone, self.around).start()
        self.journal.add_event(f"layout {layout} {self.callers.traffic}")
        await asyncio.sleep(WARM_UP_S)
        loop = asyncio.get_running_loop()
        end = loop.time() + self.options.length_s
        traffic = run_outside(self.callers.run(end))
        await asyncio.sleep(CALM_S)
        events = Events(
            random.Random(self.rng.random()),
            self.around,
            self.callers,
            self.journal.add_event,
            self.add_target,
        )
        await events.run(end, self.rng.uniform(*EVENT_PAUSE_S))
        await traffic
        await asyncio.sleep(COOL_DOWN_S)
        for target in self.targets:
            target.model.advance(target.now())


def simulate(options: Options) -> SimulationReport:
    """Simulates a site and checks its runs."""
    journal = Journal()
    loop = VirtualLoop()
    with (
        simulated_components(loop),
        journal.collecting(),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        loop.set_exception_handler(journal.add_exception)
        site, report = runner.run(_simulate(options, journal))
        # The runner ends all tasks, those of killed processes too. What they
        # do then is of no interest.
        loop.set_exception_handler(lambda *_: None)
        for process in site.around.all_processes:
            loop.resume(process)
    return report


async def _simulate(
    options: Options, journal: Journal
) -> tuple[_Site, SimulationReport]:
    site = _Site(options, journal)
    await site.run()
    return site, _check(site)


def _check(site: _Site) -> SimulationReport:
    """Checks the runs of a site that has come to its end."""
    calls = site.callers.calls
    runs = list_runs(site.targets)
    overlaps = find_overlaps(runs)
    calm_until = START_TIME_S + WARM_UP_S + CALM_S
    lines = site.journal.lines
    return SimulationReport(
        site.options,
        calls,
        [
            call
            for call in calls
            if call.ended_at < calm_until
            and call.how in ("answer", "deadline", "closed")
        ],
        sum(map(len, runs.values())),
        len({line.text for line in lines if _is_leadership(line)}),
        overlaps,
        [
            describe_overlap(first, second, calls, lines, START_TIME_S)
            for first, second in overlaps
        ],
        [
            f"{line.at - START_TIME_S:.3f} {line.source} {line.text}"
            for line in lines
            if " exception=" in line.text
        ],
    )


def _is_leadership(line) -> bool:
    return line.text.startswith(f"leader changed leader={line.source} ")
