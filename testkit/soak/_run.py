"""One seeded run of the soak."""

import asyncio
import collections
import contextlib
import random
import signal
import time
from collections.abc import Callable

import attrs

from anvilford.http1 import ClientResponse
from standins.site import EntryProcess
from standins.site import LoopbackSite
from testkit.soak._proxy import LinkState
from testkit.soak._proxy import Proxy

# Callers send a job again this long after a broken connection.
RESEND_S = 1.3
# After the faults, every request must be served within this.
RECOVERY_S = 8.0
JOB_TIMEOUT_S = 3.0
REFUSALS = (429, 503)


@attrs.frozen
class SoakOptions:
    """Size of a run; times in seconds."""

    entries: int = 4
    runners: int = 6
    length: float = 12.0
    jobs_per_second: float = 12.0


@attrs.define
class SoakReport:
    """What a run saw.

    Attributes:
        seed: Its seed.
        violations: Broken promises.
        statuses: Number of answers by status; 0 is none.
        faults: Faults as (seconds, name).
    """

    seed: int
    violations: list[str] = attrs.field(factory=list)
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    faults: list[tuple[float, str]] = attrs.field(factory=list)


class _Soak:

    def __init__(self, site: LoopbackSite, seed: int, options: SoakOptions):
        self.site = site
        self.options = options
        self.rng = random.Random(seed)
        self.report = SoakReport(seed)
        self.store_link: Proxy | None = None
        self.runner_links: list[Proxy] = []
        self.refused: dict[str, bool] = {}
        self.started = time.monotonic()

    # Callers.

    async def call_until(self, end: float) -> None:
        calls = []
        while time.monotonic() < end:
            calls.append(asyncio.ensure_future(self.call()))
            rate = self.options.jobs_per_second
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*calls)

    async def call(self) -> None:
        """Submits a job, and again after no answer, a 502 or a 504."""
        job = self.site.new_id()
        seconds = self.rng.choice((0.05, 0.1, 0.2, 0.8))
        tasks = self.rng.randint(1, 4)
        only_refused = True
        for _ in range(2):
            entry = self.rng.choice(list(self.site.entries))
            answer = await self.site.submit(
                entry, job, seconds, tasks, JOB_TIMEOUT_S
            )
            status = answer.status if isinstance(answer, ClientResponse) else 0
            self.report.statuses[status] += 1
            only_refused = only_refused and status in REFUSALS
            if status == 200:
                self.check_done(job, tasks)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_S)
        self.refused[job] = only_refused

    def check_done(self, job: str, tasks: int) -> None:
        """All tasks of a job that is completed must have ended so."""
        done = set()
        for runner in self.site.runners:
            runner.target.advance(time.monotonic())
            done |= {
                task
                for _, task, _, how in runner.target.ends
                if how.value == "done" and task.startswith(job)
            }
        if len(done) != tasks:
            self.fail(f"{job} completed with {len(done)} of {tasks} tasks")

    def fail(self, text: str) -> None:
        at = time.monotonic() - self.started
        self.report.violations.append(f"{at:.2f} s: {text}")

    # Faults.

    async def break_until(self, end: float) -> None:
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
            # Faults come in series and overlap.
            kind = self.rng.choice(kinds)
            at = time.monotonic() - self.started
            self.report.faults.append((round(at, 2), kind.__name__))
            pending.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.rng.choice((0.05, 0.5, 1.5)))
        await asyncio.gather(*pending)

    def entry(self) -> EntryProcess:
        return self.rng.choice(list(self.site.entries.values()))

    async def again(self, entry: EntryProcess) -> None:
        """Starts an ended process again, as the platform does."""
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        if entry.process is None or entry.process.poll() is not None:
            entry.start()

    async def kill(self) -> None:
        entry = self.entry()
        entry.end(signal.SIGKILL)
        await self.again(entry)

    async def kill_all(self) -> None:
        for entry in self.site.entries.values():
            entry.end(signal.SIGKILL)
        await asyncio.gather(
            *(self.again(entry) for entry in self.site.entries.values())
        )

    async def stop(self) -> None:
        entry = self.entry()
        entry.send(signal.SIGTERM)
        if entry.process is not None:
            process = entry.process
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    await asyncio.to_thread(process.wait)
        await self.again(entry)

    async def freeze(self) -> None:
        entry = self.entry()
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        entry.send(signal.SIGCONT)

    async def reload(self) -> None:
        self.entry().send(signal.SIGHUP)

    async def move_clocks_until(self, end: float) -> None:
        """Suspends machines and steps the time of day.

        Its choices have a source of their own, so that seeds that were kept
        for other faults still choose these.
        """
        rng = random.Random(f"clocks {self.report.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            name = rng.choice(list(self.site.entries))
            number = rng.choice((signal.SIGUSR1, signal.SIGUSR2))
            # A process that is not ready yet would end with the signal.
            if await self.site.is_ready(name):
                self.site.entries[name].send(number)
                at = round(time.monotonic() - self.started, 2)
                self.report.faults.append((at, signal.Signals(number).name))

    async def cut_runner(self) -> None:
        link = self.rng.choice(self.runner_links)
        link.state = self.rng.choice(list(LinkState))
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        link.state = LinkState.OPEN
        # What was swallowed is lost with its connection.
        link.reset()

    async def reset_runner(self) -> None:
        self.rng.choice(self.runner_links).reset()

    async def delay_runner(self) -> None:
        link = self.rng.choice(self.runner_links)
        link.delay = self.rng.uniform(0.02, 0.3)
        await asyncio.sleep(1.5)
        link.delay = 0.0

    async def lose_answers(self) -> None:
        runner = self.rng.choice(self.site.runners)
        runner.lose_every = 4
        await asyncio.sleep(2.0)
        runner.lose_every = 0

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
        version = int(1000 * (time.monotonic() - self.started)) + 2
        self.site.put_configuration(version)

    async def restart_runner(self) -> None:
        """A runner loses all that it runs and comes back with a new life."""
        runner = self.rng.choice(self.site.runners)
        runner.restart()
        await asyncio.sleep(0.2)
        runner.register(self.site.store)

    # The whole run.

    async def check_recovery(self) -> None:
        """After the faults every entry serves again."""
        end = time.monotonic() + RECOVERY_S
        for name in self.site.entries:
            status = None
            while status != 200 and time.monotonic() < end:
                answer = await self.site.submit(name, self.site.new_id())
                status = (
                    answer.status if isinstance(answer, ClientResponse) else 0
                )
            if status != 200:
                self.fail(f"{name} does not serve after the faults: {status}")

    def check_history(self) -> None:
        for task in self.site.overlaps():
            self.fail(f"{task} ran twice at a time")
        started = {
            task.partition(".")[0]
            for runner in self.site.runners
            for _, task, _ in runner.target.starts
        }
        for job, only_refused in self.refused.items():
            if only_refused and job in started:
                self.fail(f"{job} ran though it was refused")


async def run_seed(
    seed: int, options: SoakOptions | None = None, logs: Callable | None = None
) -> SoakReport:
    """Runs the soak with one seed.

    Args:
        seed: Chooses faults and jobs; timing stays that of real processes.
        options: Size of the run.
        logs: Called with the log text of each entry if a promise was broken.
    """
    options = options or SoakOptions()
    site = LoopbackSite(options.entries, options.runners)
    async with contextlib.AsyncExitStack() as stack:
        soak = _Soak(site, seed, options)

        async def interpose(address: str) -> Proxy:
            return await stack.enter_async_context(Proxy(address))

        async def store_address(address: str) -> str:
            soak.store_link = await interpose(address)
            return soak.store_link.address

        async def runner_address(address: str) -> str:
            soak.runner_links.append(await interpose(address))
            return soak.runner_links[-1].address

        site.store_address = store_address
        site.runner_address = runner_address
        site.entry_module = "testkit.soak._entry"
        await stack.enter_async_context(site)
        soak.started = time.monotonic()
        end = soak.started + options.length
        await asyncio.gather(
            soak.call_until(end),
            soak.break_until(end),
            soak.move_clocks_until(end),
        )
        await soak.check_recovery()
        soak.check_history()
        if soak.report.violations and logs is not None:
            for entry in site.entries.values():
                logs(entry.name, entry.log.read_text("utf-8", "replace"))
    return soak.report
