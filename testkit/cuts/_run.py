"""Plays the cuts of a day with real entry processes and callers that resend."""

import asyncio
import collections
import contextlib
import itertools
import json
import math
import pathlib
import random
import signal
import time

import attrs

from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from standins.site import HOST
from standins.site import LoopbackSite
from testkit.cuts._day import Burst
from testkit.cuts._day import Cut
from testkit.cuts._day import Disruption
from testkit.cuts._links import SiteLinks
from testkit.cuts._sites import CutSite
from testkit.cuts._sites import JobKind
from testkit.cuts._sites import SITES

# `retransmit_ms` of the users' sites.
RESEND_AFTER_S = 1.3
TASK_CPU = 6800
# Speeds of the targets, and how much longer than its mean a task may take.
TARGET_SPEEDS = (0.5, 1.2)
RUN_TIME_SIGMA = 0.5
MAX_RUN_TIME_RATIO = 4.0
# Time between the start of the processes and that of traffic.
WARM_UP_S = 2.0
# Time between the last disruption and the end of traffic.
CALM_S = 3.0


@attrs.frozen
class CutOptions:
    """How a day is played.

    Attributes:
        load: Factor of all arrivals.
        plan_load: Further factor of the arrivals of the site's second kind of
            job, the one with the longest tasks.
        delay_s: Mean delay of answers from other zones, in seconds.
        stalls_per_s: Mean number of processes that are suspended each second.
        longest_stall_s: Longest such suspension, in seconds.
        resends: Whether callers send a job again after no answer.
        until_s: End of the last disruption that is played, in seconds.
        site: Name of the site.
    """

    load: float = 0.6
    plan_load: float = 1.9
    delay_s: float = 0.002
    stalls_per_s: float = 0.0
    longest_stall_s: float = 0.3
    resends: bool = True
    until_s: float = math.inf
    site: str = "kerlann-fill"


@attrs.define
class CutReport:
    """Result of a play.

    Attributes:
        answers: Number of answers by status; 0 for none.
        resent: Number of jobs that were sent again.
        leaders: Leaders after each cut, as the store has them.
        events: What happened when, in seconds after the start of traffic.
        overlaps: Each two runs of a task at the same time.
    """

    answers: collections.Counter = attrs.field(factory=collections.Counter)
    resent: int = 0
    leaders: list[str] = attrs.field(factory=list)
    events: list[str] = attrs.field(factory=list)
    overlaps: list[str] = attrs.field(factory=list)


class _Play:
    """One play: the site, its callers and its disruptions."""

    def __init__(self, site: LoopbackSite, seed: int, options: CutOptions):
        self.site = site
        self.options = options
        self.model: CutSite = SITES[options.site]
        self.rng = random.Random(seed)
        self.links = SiteLinks(site, options.delay_s)
        self.report = CutReport()
        self.started = 0.0
        self.bursts: list[Burst] = []
        self.is_over = False

    @property
    def now(self) -> float:
        """Seconds since the start of traffic."""
        return time.monotonic() - self.started

    def log(self, text: str) -> None:
        """Adds an event to the report."""
        self.report.events.append(f"{self.now:.3f} {text}")

    # Disruptions.

    async def disrupt(self, disruptions: list[Disruption]) -> None:
        """Carries out the disruptions of a day, one cut at a time."""
        for disruption in disruptions:
            await asyncio.sleep(disruption.at - self.now)
            match disruption:
                case Burst():
                    self.bursts.append(disruption)
                case Cut():
                    await self._cut(disruption)

    async def _cut(self, cut: Cut) -> None:
        leader = self.site.leader_name() or next(iter(self.site.entries))
        self.log(
            f"cut of {cut.zone or leader} for {cut.length} s; {leader} leads"
        )
        if cut.zone is None:
            self.links.cut_entry(leader)
        else:
            self.links.cut_zone(cut.zone)
        await asyncio.sleep(cut.at + cut.length - self.now)
        self.links.heal()
        self.report.leaders.append(self.site.leader_name() or "")
        self.log(f"cut ends; {self.report.leaders[-1]} leads")

    async def stall_processes(self) -> None:
        """Suspends random entries for a moment, as on a busy machine."""
        rate = self.options.stalls_per_s
        while rate and not self.is_over:
            await asyncio.sleep(self.rng.expovariate(rate))
            entry = self.rng.choice(list(self.site.entries.values()))
            seconds = self.rng.uniform(0.02, self.options.longest_stall_s)
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            entry.send_signal(signal.SIGCONT)

    # Callers.

    async def submit_jobs(self, kind: JobKind, end: float) -> None:
        """Submits jobs of one kind until the given time of the day."""
        async with asyncio.TaskGroup() as calls:
            while self.now < end:
                calls.create_task(self._submit(kind))
                rate = kind.per_s * self.options.load
                if kind == self.model.kinds[1]:
                    rate *= self.options.plan_load
                for burst in self.bursts:
                    if (
                        burst.kind in (None, kind.name)
                        and burst.at <= self.now < burst.at + burst.length
                    ):
                        rate *= burst.factor
                await asyncio.sleep(self.rng.expovariate(rate))

    async def _submit(self, kind: JobKind) -> None:
        """Submits a job, and again to any other entry if there is no answer."""
        job_id = self.site.new_job_id()
        ratio = self.rng.lognormvariate(0.0, RUN_TIME_SIGMA)
        seconds = kind.seconds * min(ratio, MAX_RUN_TIME_RATIO)
        entries = self.rng.sample(list(self.site.entries), 2)
        for attempt, entry in enumerate(entries):
            status = await self._post(entry, job_id, kind, seconds)
            self.report.answers[status] += 1
            if status not in (0, 502, 504) or not self.options.resends:
                return
            if attempt == 0:
                self.report.resent += 1
                await asyncio.sleep(RESEND_AFTER_S)

    async def _post(
        self, entry: str, job_id: str, kind: JobKind, seconds: float
    ) -> int:
        """Returns the status of the answer to a submission; 0 for none."""
        body = {
            "spec": json.dumps({"seconds": seconds, "cpu": TASK_CPU}),
            "steps": [
                {
                    "count": kind.tasks,
                    "cpu": TASK_CPU,
                    "mem_mb": 64,
                    "estimate_ms": int(kind.seconds * 1000),
                }
            ],
            "best_effort": True,
        }
        with HttpClient() as http:
            answer = await http.call(
                self.site.entries[entry].caller_address,
                f"POST /jobs/{job_id}",
                json.dumps(body).encode(),
                self.model.deadline_s,
                f"Host: {HOST}\r\n"
                f"X-Anvilford-Deadline-Ms: {int(self.model.deadline_s * 1000)}\r\n",
            )
        return answer.status if isinstance(answer, ClientResponse) else 0

    # Check.

    def find_overlaps(self) -> list[str]:
        """Returns a text for each two runs of a task at the same time."""
        runs = collections.defaultdict(list)
        for server in self.site.targets:
            target = server.target
            target.advance(time.monotonic())
            ends = {(task, run): at for at, task, run, _ in target.ends}
            for at, task, run in target.starts:
                end = ends.get((task, run), math.inf)
                runs[task].append(
                    (at - self.started, end - self.started, server, run)
                )
        return [
            f"{task}: run {a[3]} on {a[2].name} ({a[2].zone}) {a[0]:.3f} to"
            f" {a[1]:.3f}, run {b[3]} on {b[2].name} ({b[2].zone}) {b[0]:.3f}"
            f" to {b[1]:.3f}"
            for task, spans in sorted(runs.items())
            for a, b in itertools.combinations(
                sorted(spans, key=lambda span: span[:2]), 2
            )
            if a[1] > b[0]
        ]


async def play_day(
    disruptions: list[Disruption],
    seed: int,
    options: CutOptions,
    logs: pathlib.Path | None = None,
) -> CutReport:
    """Plays the disruptions of a day and returns what was seen.

    Args:
        disruptions: Disruptions of the day.
        seed: Determines jobs and stalls, but not the timing of processes.
        options: How the day is played.
        logs: Folder for the logs of the entries if a task overlapped.
    """
    model = SITES[options.site]
    site = LoopbackSite(len(model.entry_zones), len(model.target_zones))
    site.entry_zones = model.entry_zones
    site.target_zones = model.target_zones
    play = _Play(site, seed, options)
    disruptions = [
        disruption
        for disruption in disruptions
        if disruption.at + disruption.length <= options.until_s
    ]
    end = max(d.at + d.length for d in disruptions) + CALM_S
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(site)
        for server in site.targets:
            server.target.speed = play.rng.uniform(*TARGET_SPEEDS)
        await asyncio.sleep(WARM_UP_S)
        play.started = time.monotonic()
        stalls = asyncio.ensure_future(play.stall_processes())
        await asyncio.gather(
            play.disrupt(disruptions),
            *(play.submit_jobs(kind, end) for kind in model.kinds),
        )
        play.is_over = True
        await stalls
        play.report.overlaps = play.find_overlaps()
        if logs is not None and play.report.overlaps:
            logs.mkdir(parents=True, exist_ok=True)
            for entry in site.entries.values():
                text = entry.log_path.read_text("utf-8", "replace")
                (logs / f"{entry.name}.log").write_text(text, "utf-8")
    return play.report
