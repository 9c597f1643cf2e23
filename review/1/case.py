"""Case 1: the leader is killed while runners are added."""

import asyncio
import itertools
import os
import pathlib
import random
import signal

from review.common import Case
from review.common import run_case
from standins.rows import RowStore
from standins.runner import FakeTargetServer
from standins.site import LoopbackSite

FOLDER = pathlib.Path(__file__).parent
# Without the disruption, the same jobs are sent and the rule must hold.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_TARGETS = 8
ADDED_TARGETS = 6
# `scale_out` of kerlann-fill: share 0.25, gap_s 2.0.
ADD_INTERVAL_S = 0.33
# Like fill-plan and seal-confirm, at a rate that keeps most runners busy.
JOBS_PER_S = 18.0
TASK_S = 0.6
DEADLINE_S = 3.0
# The processes are as old as those of a site that was not just started.
QUIET_S = 22.0
KILL_AFTER_S = 1.4
END_S = QUIET_S + 12.0


async def _send_jobs(case: Case) -> None:
    """Sends jobs to all entries but the leader, which will be killed."""
    rng = random.Random(1)
    leader = case.site.leader_name()
    entries = [name for name in case.site.entries if name != leader]
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if case.now > END_S - DEADLINE_S:
                return
            group.create_task(
                case.post(
                    entries[number % len(entries)],
                    f"{number:016x}",
                    TASK_S,
                    deadline_s=DEADLINE_S,
                    estimate_ms=int(TASK_S * 1000),
                )
            )
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))


def _register(case: Case, server: FakeTargetServer) -> None:
    case.site.store.withheld.discard(server.name)
    server.register(case.site.store)
    case.log(f"{server.name} registers")


async def _play(case: Case) -> list[str]:
    case.log(f"trouble: {HAS_TROUBLE}")
    site = case.site
    added = site.targets[FIRST_TARGETS:]
    await case.sleep_until(QUIET_S - 4.0)
    jobs = asyncio.ensure_future(_send_jobs(case))
    await case.sleep_until(QUIET_S)
    leader = site.leader_name()

    async def kill_leader() -> None:
        await asyncio.sleep(KILL_AFTER_S)
        case.log(f"{leader}, the leader, is killed")
        site.entries[leader].stop(signal.SIGKILL)
        await asyncio.sleep(3.5)
        site.entries[leader].start()
        case.log(f"{leader} starts again")

    killer = asyncio.ensure_future(kill_leader()) if HAS_TROUBLE else None
    for server in added:
        _register(case, server)
        await asyncio.sleep(ADD_INTERVAL_S)
    await jobs
    if killer is not None:
        await killer
    return case.find_double_runs()


class _GrowingStore(RowStore):
    """Store without the last runners, which are up but not registered yet.

    Attributes:
        withheld: Names of the runners that are not registered yet.
    """

    def __init__(self):
        super().__init__()
        self.withheld = {
            f"t{n}" for n in range(FIRST_TARGETS, FIRST_TARGETS + ADDED_TARGETS)
        }

    def put(self, table: str, key: str, value: dict) -> None:
        if key not in self.withheld:
            super().put(table, key, value)


def _make_site() -> LoopbackSite:
    site = LoopbackSite(entries=6, targets=FIRST_TARGETS + ADDED_TARGETS)
    site.store = _GrowingStore()
    return site


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", _make_site(), _play)
