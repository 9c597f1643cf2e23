"""Case 5: runners crash and start again as another kind."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import time

from review.common import Case
from review.common import run_case
from standins.proxy import LinkState
from standins.runner import FakeTargetServer
from standins.site import LoopbackSite

FOLDER = pathlib.Path(__file__).parent
# Without the disruption, the same jobs are sent and the rule must hold.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGETS = 16
# As on the sheets: seal-confirm, at half of its rate.
JOBS_PER_S = 22.0
TASK_S = 0.17
REQUIRED_KIND = "a"
OTHER_KIND = "b"
# `heartbeat_ms` of the sites.
REPORT_INTERVAL_S = 1.5
ROUNDS = 12
# `srv_crash` of kerlann-fill: share 0.14 to 0.16.
CRASHED_TARGETS = 2
CRASH_S = 2.0
ROUND_S = 5.0


class _Runners:
    """Writes the status reports of the runners, with the kind of each life.

    Attributes:
        case: The case.
        kinds: Kind of the present life of each runner, by name.
        lives: Start and kind of each life after the first one, by name.
    """

    def __init__(self, case: Case):
        self.case = case
        self.kinds = {s.name: REQUIRED_KIND for s in case.site.targets}
        self.lives: dict[str, list[tuple[float, str]]] = {}
        self._sequence = itertools.count(2)
        self._crashed: set[str] = set()

    def report(self, server: FakeTargetServer) -> None:
        """Writes the row of a runner that is up."""
        store = self.case.site.store
        row = store.get("servers", server.name)
        store.put(
            "servers",
            server.name,
            {
                **row,
                "born": server.incarnation,
                "labels": [self.kinds[server.name], "r1"],
                "seq": next(self._sequence),
            },
        )

    async def report_regularly(self) -> None:
        """Writes the rows of all runners in turn, until cancelled."""
        servers = self.case.site.targets
        for server in itertools.cycle(servers):
            await asyncio.sleep(REPORT_INTERVAL_S / len(servers))
            if server.name not in self._crashed:
                self.report(server)

    async def crash_and_return(self, server: FakeTargetServer) -> None:
        """Crashes a runner; it returns as a runner of the other kind."""
        proxy = self.case.proxies[server.name]
        self._crashed.add(server.name)
        self.case.log(f"{server.name} crashes")
        server.target.crash(time.monotonic())
        proxy.state = LinkState.REFUSED
        proxy.reset()
        await asyncio.sleep(CRASH_S)
        was_required = self.kinds[server.name] == REQUIRED_KIND
        self.kinds[server.name] = OTHER_KIND if was_required else REQUIRED_KIND
        server.restart()
        # The report is stored before the runner accepts its first connection.
        self.report(server)
        self.lives.setdefault(server.name, []).append(
            (self.case.now, self.kinds[server.name])
        )
        self.case.log(f"{server.name} is back, kind {self.kinds[server.name]}")
        proxy.state = LinkState.OPEN
        self._crashed.discard(server.name)

    def kind_at(self, name: str, moment: float) -> str:
        """Returns the kind of the life of a runner at a time."""
        kind = REQUIRED_KIND
        for start, life_kind in self.lives.get(name, ()):
            if start <= moment:
                kind = life_kind
        return kind


async def _send_jobs(case: Case) -> None:
    rng = random.Random(1)
    entries = list(case.site.entries)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if case.now > ROUNDS * ROUND_S:
                return
            group.create_task(
                case.post(
                    entries[number % len(entries)],
                    f"{number:016x}",
                    TASK_S,
                    2,
                    estimate_ms=int(TASK_S * 1000),
                    requires=REQUIRED_KIND,
                )
            )
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))


async def _play(case: Case) -> list[str]:
    case.log(f"trouble: {HAS_TROUBLE}")
    runners = _Runners(case)
    reports = asyncio.ensure_future(runners.report_regularly())
    jobs = asyncio.ensure_future(_send_jobs(case))
    rng = random.Random(2)
    for number in range(ROUNDS):
        await case.sleep_until(number * ROUND_S + 1.0)
        if HAS_TROUBLE:
            await asyncio.gather(
                *(
                    runners.crash_and_return(server)
                    for server in rng.sample(case.site.targets, CRASHED_TARGETS)
                )
            )
    await jobs
    reports.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await reports
    return [
        f"ROUTE {task} requires {REQUIRED_KIND}; number {run} started at"
        f" {start:.3f} on {target}, which is of kind {OTHER_KIND}"
        for task, runs in sorted(case.list_runs().items())
        for start, _, target, run, _ in runs
        if runners.kind_at(target, start) != REQUIRED_KIND
    ]


if __name__ == "__main__":
    run_case(
        FOLDER / "record.txt",
        LoopbackSite(entries=4, targets=TARGETS),
        _play,
    )
