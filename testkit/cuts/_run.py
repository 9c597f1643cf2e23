"""Plays the cuts of a day with real entry processes and callers that resend."""

import asyncio
import contextlib
import math
import pathlib
import random
import time

import attrs

from standins.rows import RowStore
from standins.site import LoopbackSite
from testkit.cuts._callers import Break
from testkit.cuts._callers import CallerConnections
from testkit.cuts._callers import CallerOptions
from testkit.cuts._callers import Callers
from testkit.cuts._callers import DEFAULT_BREAKS
from testkit.cuts._day import Burst
from testkit.cuts._day import Disruption
from testkit.cuts._day import stretch_day
from testkit.cuts._day_file import format_day
from testkit.cuts._disrupt import Disruptor
from testkit.cuts._links import SiteLinks
from testkit.cuts._report import CutReport
from testkit.cuts._report import find_overlaps
from testkit.cuts._report import read_terms
from testkit.cuts._rows import LONGEST_RETURN_S
from testkit.cuts._rows import TargetRows
from testkit.cuts._sites import CutSite
from testkit.cuts._sites import JobKind
from testkit.cuts._sites import SITES

# Speeds of the targets.
TARGET_SPEEDS = (0.5, 1.2)
# Range of the values at which the targets' clocks start.
CLOCK_RANGE_S = 1000.0
# Time between the start of the processes and that of traffic.
WARM_UP_S = 2.0
# Time between the last disruption and the end of traffic.
CALM_S = 3.0


@attrs.frozen
class CutOptions:
    """How a day is played.

    Attributes:
        site: Name of the site.
        load: Factor of all arrivals.
        plan_load: Further factor of the arrivals of the site's second kind of
            job, the one with the longest tasks.
        stretch: Factor of run times, deadlines and all times of the day; there
            are fewer arrivals by the same factor. The product's waits and the
            callers' time before a job is sent again stay as they are.
        task_stretch: Further such factor, without the times of the day.
        tries: Largest number of entries that get the same job.
        long_share: Share of the jobs that are long.
        long_ratio: How many times as long their tasks take, and callers wait.
        broken_share: Share of the requests whose connections break.
        breaks: Ways in which they do.
        delay_s: Mean delay of answers from other zones, in seconds.
        stalls_per_s: Mean number of processes that are suspended each second.
        longest_stall_s: Longest such suspension, in seconds.
        clock_drift: By how much of the time the targets' clocks are slow or
            fast at most; they start at different values then.
        until_s: End of the last disruption that is played, in seconds of the
            day file.
    """

    site: str = "kerlann-fill"
    load: float = 0.6
    plan_load: float = 1.9
    stretch: float = 1.0
    task_stretch: float = 1.0
    tries: int = 2
    long_share: float = 0.0
    long_ratio: float = 1.0
    broken_share: float = 0.0
    breaks: tuple[Break, ...] = DEFAULT_BREAKS
    delay_s: float = 0.002
    stalls_per_s: float = 0.0
    longest_stall_s: float = 0.3
    clock_drift: float = 0.0
    until_s: float = math.inf

    @property
    def model(self) -> CutSite:
        """The site, with stretched tasks."""
        return SITES[self.site].stretch(self.stretch * self.task_stretch)

    def select(self, disruptions: list[Disruption]) -> list[Disruption]:
        """Returns the stretched disruptions that are played."""
        selected = [d for d in disruptions if d.at + d.length <= self.until_s]
        return stretch_day(selected, self.stretch)


class _Play:
    """One play: the site, its callers and its disruptions."""

    def __init__(
        self,
        site: LoopbackSite,
        seed: int,
        options: CutOptions,
        disruptions: list[Disruption],
    ):
        self.site = site
        self.options = options
        self.disruptions = disruptions
        self.end = max(d.at + d.length for d in disruptions) + CALM_S
        self.model = options.model
        self.rng = random.Random(seed)
        self.links = SiteLinks(site, options.delay_s)
        self.report = CutReport()
        self.started = 0.0
        site.before_start = self._prepare

    @property
    def now(self) -> float:
        """Seconds since the start of traffic."""
        return time.monotonic() - self.started

    def log(self, text: str) -> None:
        """Adds an event to the report."""
        self.report.events.append(f"{self.now:.3f} {text}")

    def _prepare(self) -> None:
        """Sets the targets' speeds and clocks, and the entries' links."""
        drift = self.options.clock_drift
        for server in self.site.targets:
            server.target.speed = self.rng.uniform(*TARGET_SPEEDS)
            if drift:
                server.clock_rate = self.rng.uniform(1 - drift, 1 + drift)
                server.clock_offset_s = self.rng.uniform(0.0, CLOCK_RANGE_S)
        self.links.heal()

    async def run(self) -> None:
        """Plays the day on the running site."""
        await asyncio.sleep(WARM_UP_S)
        self.started = time.monotonic()
        with CallerConnections() as connections:
            callers = Callers(
                self.site,
                self.rng,
                CallerOptions(
                    self.model.deadline_s,
                    self.options.tries,
                    self.options.long_share,
                    self.options.long_ratio,
                    self.options.broken_share,
                    self.options.breaks,
                ),
                connections,
                self.report,
            )
            disruptor = Disruptor(self.site, self.links, self.rng, self.log)
            async with asyncio.TaskGroup() as tasks:
                rows = TargetRows(
                    self.links,
                    lambda: self.rng.uniform(0.0, LONGEST_RETURN_S),
                )
                rows_task = tasks.create_task(rows.follow_cuts())
                stalls = tasks.create_task(
                    disruptor.stall_at_random(
                        self.options.stalls_per_s, self.options.longest_stall_s
                    )
                )
                await asyncio.gather(
                    disruptor.carry_out(self.disruptions, lambda: self.now),
                    *(
                        callers.submit_jobs(kind, self._rate)
                        for kind in self.model.kinds
                    ),
                )
                stalls.cancel()
                rows_task.cancel()
        self._check()

    def _check(self) -> None:
        """Adds each two runs at once, with the calls of their job."""
        overlaps = find_overlaps(self.site.targets, self.started)
        self.report.terms = read_terms(
            {e.name: e.log_records() for e in self.site.entries.values()}
        )
        zones = dict(zip(self.site.entries, self.site.entry_zones, strict=True))
        for text in overlaps:
            job_id = text.partition(".")[0]
            calls = self.report.describe_calls(job_id, zones, self.started)
            self.report.overlaps.append("\n    ".join([text, *calls]))

    def _rate(self, kind: JobKind) -> float | None:
        """Returns the arrivals per second now; None after the end."""
        if self.now >= self.end:
            return None
        rate = kind.per_s * self.options.load
        if kind == self.model.kinds[1]:
            rate *= self.options.plan_load
        for burst in self.disruptions:
            if (
                isinstance(burst, Burst)
                and burst.kind in (None, kind.name)
                and burst.at <= self.now < burst.at + burst.length
            ):
                rate *= burst.factor
        return rate


def _keep_logs(site: LoopbackSite, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for entry in site.entries.values():
        text = entry.log_path.read_text("utf-8", "replace")
        (folder / f"{entry.name}.log").write_text(text, "utf-8")


async def play_day(
    disruptions: list[Disruption],
    seed: int,
    options: CutOptions,
    logs: pathlib.Path | None = None,
    keeps_logs: bool = False,
) -> CutReport:
    """Plays the disruptions of a day and returns what was seen.

    Args:
        disruptions: Disruptions of the day.
        seed: Determines jobs and stalls, but not the timing of processes.
        options: How the day is played.
        logs: Folder for the logs of the entries if a task overlapped, or two
            leaders of the whole site had one term.
        keeps_logs: Whether it receives them in any case.
    """
    model = options.model
    site = LoopbackSite(len(model.entry_zones), len(model.target_zones))
    site.entry_zones = model.entry_zones
    site.target_zones = model.target_zones
    play = _Play(site, seed, options, options.select(disruptions))
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(site)
        unavailable = await stack.enter_async_context(RowStore())
        unavailable.faults.is_down = True
        play.links.unavailable_address = unavailable.address
        await play.run()
        is_odd = play.report.overlaps or play.report.terms.shared
        if logs is not None and (is_odd or keeps_logs):
            _keep_logs(site, logs)
            lines = [str(options), *play.report.events, *play.report.overlaps]
            (logs / "events.txt").write_text("\n".join(lines), "utf-8")
            day = format_day("failed", disruptions)
            (logs / "day.toml").write_text(day, "utf-8")
    return play.report
