"""Runs the soak test with one seed.

The run submits jobs to real entry processes while it injects faults. It checks
these guarantees from what callers and targets observe:

- No task runs twice at the same time.
- All tasks of a job that was answered as completed have run to their end.
- No task of a job starts if all its submissions were refused (429 or 503).
- No request is answered with 500, the status of an unexpected exception.
- Every entry serves requests again within `RECOVERY_LIMIT_S` of the faults.
- After that, every entry uses a new configuration within `APPLY_LIMIT_S`, and the
  time for which the process of the store is measured to have stood still.
- A job is answered as failed only if a task of it has crashed two targets, and
  no task that crashes targets is started more than `MAX_DEADLY_STARTS` times.

`python -m testkit.soak --seed N` repeats a seed: it chooses the same faults and
jobs, while the timing remains that of real processes.
"""

import asyncio
import contextlib
import json
import math
import random
import signal
import subprocess
import time
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.http1 import ClientResponse
from standins.proxy import LinkState
from standins.proxy import Proxy
from standins.site import EntryProcess
from standins.site import LoopbackSite
from standins.site import ZONES
from testkit.cuts import SiteLinks
from testkit.soak._checks import SoakChecks
from testkit.soak._checks import SoakReport

# Callers resubmit a job this long after a broken connection, a 502 or a 504.
RESEND_DELAY_S = 1.3
JOB_TIMEOUT_S = 3.0
# Bandwidth of the link to the store, in bytes per second, while it is slow, and
# number of routes that take longer than a second on it.
SLOW_LINK_BYTES_PER_S = 950_000
MANY_ROUTES = 4200
# Time from SIGTERM to SIGKILL (`grace_s` of the users' sites).
STOP_GRACE_S = 6.0
# HTTP statuses of jobs that were refused before any task started.
REFUSAL_STATUSES = (429, 503)


@attrs.frozen
class SoakOptions:
    """Size of a run.

    Attributes:
        entries: Number of entry processes.
        targets: Number of targets.
        length: Duration of load and faults in seconds.
        jobs_per_second: Mean arrival rate of jobs.
    """

    entries: int = 4
    targets: int = 6
    length: float = 12.0
    jobs_per_second: float = 12.0


class _SoakRun:
    """Callers, faults and checks of one run.

    Attributes:
        site: Site under test.
        options: Size of the run.
        rng: Random source of callers and faults.
        report: Result, filled during the run.
        store_link: Proxy between the entries and the store.
        target_links: Proxy between the entries and each target.
        links: Links between the entries, and from them to targets and store.
        checks: Checks of the guarantees; records violations in the report.
    """

    def __init__(self, site: LoopbackSite, seed: int, options: SoakOptions):
        self.site = site
        self.options = options
        self.rng = random.Random(seed)
        self.report = SoakReport(seed)
        self.store_link: Proxy | None = None
        self.target_links: list[Proxy] = []
        self.links = SiteLinks(site)
        self.checks = SoakChecks(site, self.report)

    # Callers.

    async def run_callers(self, end: float) -> None:
        """Submits jobs until a monotonic time and waits for all answers."""
        calls = []
        while time.monotonic() < end:
            calls.append(asyncio.ensure_future(self.submit_job()))
            rate = self.options.jobs_per_second
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*calls)

    async def submit_job(self) -> None:
        """Submits a job; resubmits it once after no answer, a 502 or a 504."""
        job = self.site.new_job_id()
        seconds = self.rng.choice((0.05, 0.1, 0.2, 0.8))
        tasks = self.rng.randint(1, 4)
        only_refused = True
        for _ in range(2):
            entry = self.rng.choice(list(self.site.entries))
            answer = await self.site.submit(
                entry, job, seconds, tasks, JOB_TIMEOUT_S
            )
            status = answer.status if isinstance(answer, ClientResponse) else 0
            self.report.status_counts[status] += 1
            only_refused = only_refused and status in REFUSAL_STATUSES
            if status == 500:
                self.checks.add_violation(f"{entry} answered 500 to job {job}")
            if status == 200 and b"failed" in answer.body:
                self.checks.check_failed_job(job)
            elif status == 200:
                self.checks.check_completed_job(job, tasks)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_DELAY_S)
        self.checks.was_only_refused[job] = only_refused

    async def submit_deadly_jobs(self, end: float) -> None:
        """Submits jobs that crash targets until a monotonic time.

        Like `shift_clocks`, it uses a random source of its own.
        """
        rng = random.Random(f"deadly {self.report.seed}")
        calls = []
        while time.monotonic() < end - JOB_TIMEOUT_S:
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            name = rng.choice(list(self.site.entries))
            calls.append(asyncio.ensure_future(self.submit_deadly_job(name)))
        await asyncio.gather(*calls)

    async def submit_deadly_job(self, entry: str) -> None:
        """Submits a job that crashes targets; resubmits it after a 504."""
        job = self.site.new_job_id()
        self.checks.deadly_jobs.append(job)
        spec = json.dumps({"seconds": 0.1, "cpu": 6800, "deadly": True})
        for _ in range(3):
            answer = await self.site.submit(
                entry, job, tasks=1, timeout=JOB_TIMEOUT_S, spec=spec
            )
            if isinstance(answer, ClientResponse) and answer.status != 504:
                return
            await asyncio.sleep(RESEND_DELAY_S)

    # Faults. The report lists them by the names of their methods.

    async def inject_faults(self, end: float) -> None:
        """Injects random faults until a monotonic time; they may overlap."""
        kinds: list[Callable] = [
            self.kill,
            self.kill_all,
            self.stop,
            self.freeze,
            self.reload,
            self.cut_runner,
            self.reset_runner,
            self.delay_runner,
            self.lose_answers,
            self.store_away,
            self.store_slow,
            self.store_forgets,
            self.configure,
            self.restart_runner,
        ]
        pending = []
        while time.monotonic() < end:
            kind = self.rng.choice(kinds)
            at = time.monotonic() - self.checks.started
            self.report.faults.append((round(at, 2), kind.__name__))
            pending.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.rng.choice((0.05, 0.5, 1.5)))
        await asyncio.gather(*pending)

    def random_entry(self) -> EntryProcess:
        return self.rng.choice(list(self.site.entries.values()))

    async def restart_entry(self, entry: EntryProcess) -> None:
        """Restarts an entry that has ended, as the platform does."""
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self.site.start_entry(entry)

    async def kill(self) -> None:
        entry = self.random_entry()
        entry.stop(signal.SIGKILL)
        await self.restart_entry(entry)

    async def kill_all(self) -> None:
        for entry in self.site.entries.values():
            entry.stop(signal.SIGKILL)
        await asyncio.gather(
            *(self.restart_entry(entry) for entry in self.site.entries.values())
        )

    async def stop(self) -> None:
        """Stops a random entry by SIGTERM, and by SIGKILL after the grace.

        It may be frozen meanwhile, so that it has not ended by then.
        """
        entry = self.random_entry()
        entry.send_signal(signal.SIGTERM)
        process = entry.process
        if process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, STOP_GRACE_S)
            if entry.process is process and process.poll() is None:
                entry.stop(signal.SIGKILL)
        await self.restart_entry(entry)

    async def freeze(self) -> None:
        entry = self.random_entry()
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        entry.send_signal(signal.SIGCONT)

    async def reload(self) -> None:
        """Reloads a random entry by SIGHUP, which a ready one must survive.

        The signal ends a process whose interpreter has not run the program
        yet. Such a process is started again, as the platform does.
        """
        entry = self.random_entry()
        was_ready = await self._is_ready(entry)
        entry.send_signal(signal.SIGHUP)
        if not was_ready:
            await self.restart_entry(entry)

    async def _is_ready(self, entry: EntryProcess) -> bool:
        """Returns whether an entry is ready and not another process by now."""
        process = entry.process
        return await self.site.is_ready(entry.name) and entry.process is process

    async def shift_clocks(self, end: float) -> None:
        """Simulates suspensions and wall-clock steps until a monotonic time.

        Uses a random source of its own, so that the seeds kept as regression
        tests still draw the same other faults.
        """
        rng = random.Random(f"clocks {self.report.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            name = rng.choice(list(self.site.entries))
            number = rng.choice((signal.SIGUSR1, signal.SIGUSR2))
            # A process that is not ready may not have its signal handlers
            # yet; the signal would end it.
            entry = self.site.entries[name]
            if await self._is_ready(entry):
                entry.send_signal(number)
                at = round(time.monotonic() - self.checks.started, 2)
                self.report.faults.append((at, signal.Signals(number).name))

    async def cut_links(self, end: float) -> None:
        """Cuts off the leader, another entry or a zone until a monotonic time.

        Like `shift_clocks`, it uses a random source of its own.
        """
        rng = random.Random(f"cuts {self.report.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            name = rng.choice(list(self.site.entries))
            cut = rng.choice(("leader", "entry", *ZONES))
            if cut in ZONES:
                self.links.cut_zone(cut)
            else:
                leader = self.site.leader_name()
                self.links.cut_entry((cut == "leader" and leader) or name)
            at = round(time.monotonic() - self.checks.started, 2)
            self.report.faults.append((at, f"cut {cut}"))
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            self.links.heal()

    async def grow_configurations(self, end: float) -> None:
        """Writes large configurations while the link to the store is slow.

        Like `shift_clocks`, it uses a random source of its own.
        """
        rng = random.Random(f"configurations {self.report.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            self.slow_store_link()
            self.put_configuration(f"/{n:08x}/" for n in range(MANY_ROUTES))
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            self.store_link.answer_bytes_per_s = math.inf

    def slow_store_link(self) -> None:
        """Gives the link to the store the bandwidth of slow links, per entry."""
        self.store_link.answer_bytes_per_s = SLOW_LINK_BYTES_PER_S * len(
            self.site.entries
        )

    def put_configuration(self, more: Iterable[str] = ()) -> None:
        """Writes the next version of the configuration, with more routes."""
        version = int(1000 * (time.monotonic() - self.checks.started)) + 2
        self.site.put_configuration(version, more=more)

    async def cut_runner(self) -> None:
        """Puts the link to a random target into a random state for a while."""
        link = self.rng.choice(self.target_links)
        link.state = self.rng.choice(list(LinkState))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        link.state = LinkState.OPEN
        # Bytes were dropped, so the open connections are unusable.
        link.reset()

    async def reset_runner(self) -> None:
        """Resets the open connections to a random target."""
        self.rng.choice(self.target_links).reset()

    async def delay_runner(self) -> None:
        """Slows the link to a random target; ends after 1.5 s."""
        link = self.rng.choice(self.target_links)
        link.delay = self.rng.uniform(0.02, 0.3)
        await asyncio.sleep(1.5)
        link.delay = 0.0

    async def lose_answers(self) -> None:
        target = self.rng.choice(self.site.targets)
        target.drop_every = 4
        await asyncio.sleep(2.0)
        target.drop_every = 0

    async def store_away(self) -> None:
        self.store_link.state = self.rng.choice(
            (LinkState.SILENT, LinkState.REFUSED)
        )
        self.store_link.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.store_link.state = LinkState.OPEN
        self.store_link.reset()

    async def store_slow(self) -> None:
        self.site.store.faults.delay_s = self.rng.uniform(0.1, 0.5)
        await asyncio.sleep(2.0)
        self.site.store.faults.delay_s = 0.0

    async def store_forgets(self) -> None:
        self.site.store.faults.has_no_history = True
        await asyncio.sleep(0.5)
        self.site.store.faults.has_no_history = False

    async def configure(self) -> None:
        self.put_configuration()

    async def restart_runner(self) -> None:
        """Restarts a target: its runs are lost and it has a new incarnation."""
        target = self.rng.choice(self.site.targets)
        target.restart()
        await asyncio.sleep(0.2)
        target.register(self.site.store)

    async def check_configuration(self) -> None:
        """Checks that every entry uses a large configuration in time."""
        marker = "/newest/"
        self.slow_store_link()
        self.put_configuration(
            [marker, *(f"/{n:08x}/" for n in range(MANY_ROUTES))]
        )
        await self.checks.check_route(marker)


async def run_seed(
    seed: int,
    options: SoakOptions | None = None,
    save_log: Callable | None = None,
) -> SoakReport:
    """Runs the soak test with one seed.

    Args:
        seed: Determines faults and jobs, but not the timing of processes.
        options: Size of the run.
        save_log: Called with (entry name, log text) for each entry if a
            guarantee was violated.
    """
    options = options or SoakOptions()
    site = LoopbackSite(options.entries, options.targets)
    async with contextlib.AsyncExitStack() as stack:
        soak = _SoakRun(site, seed, options)

        async def interpose(address: str) -> Proxy:
            return await stack.enter_async_context(Proxy(address))

        async def wrap_store_address(address: str) -> str:
            soak.store_link = await interpose(address)
            return soak.store_link.address

        async def wrap_target_address(address: str) -> str:
            soak.target_links.append(await interpose(address))
            return soak.target_links[-1].address

        site.wrap_store_address = wrap_store_address
        site.wrap_target_address = wrap_target_address
        site.entry_module = "testkit.soak._entry"
        await stack.enter_async_context(site)
        await stack.enter_async_context(soak.checks.stalls)
        soak.checks.started = time.monotonic()
        end = soak.checks.started + options.length
        await asyncio.gather(
            soak.run_callers(end),
            soak.inject_faults(end),
            soak.shift_clocks(end),
            soak.cut_links(end),
            soak.grow_configurations(end),
            soak.submit_deadly_jobs(end),
        )
        await soak.checks.check_recovery()
        await soak.check_configuration()
        soak.report.stalls = [
            (round(start - soak.checks.started, 2), round(end - start, 2))
            for start, end in soak.checks.stalls.stalls
        ]
        soak.checks.check_task_history()
        if soak.report.violations and save_log is not None:
            for entry in site.entries.values():
                save_log(
                    entry.name, entry.log_path.read_text("utf-8", "replace")
                )
    return soak.report
