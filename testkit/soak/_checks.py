"""Checks of the soak test, from what callers and targets observe."""

import asyncio
import collections
import signal
import time

import attrs

from anvilford.http1 import ClientResponse
from standins.site import EntryProcess
from standins.site import LoopbackSite
from testkit.soak._stalls import describe_process
from testkit.soak._stalls import ProcessSample
from testkit.soak._stalls import sample_process
from testkit.soak._stalls import StallRecorder

# Every entry must serve requests again within this time after the faults.
RECOVERY_LIMIT_S = 8.0
# Every entry must use a new configuration within this time, as on the users' sites
# with small links.
APPLY_LIMIT_S = 3.0
# Pause before an entry is asked again, in seconds; short beside both limits. Without
# it, dozens of entries that refuse at once keep the process of the soak, and so the
# store and the targets, busy.
RETRY_PAUSE_S = 0.1
# Time for an entry to write its stack to its log.
STACK_TIME_S = 0.2
# The platform allows that a task crashes three targets and starts twice more.
MAX_DEADLY_STARTS = 5
# The platform allows to give up a task under which this many targets crashed.
CRASHES_TO_GIVE_UP = 2


@attrs.define
class SoakReport:
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        violations: Violated guarantees, each with its time after the start.
        status_counts: Number of submissions by HTTP status; 0 counts those
            without an answer.
        faults: Injected faults as (seconds after the start, name).
        stalls: Times for which the process of the soak stood still, as
            (seconds after the start, seconds).
    """

    seed: int
    violations: list[str] = attrs.field(factory=list)
    status_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    faults: list[tuple[float, str]] = attrs.field(factory=list)
    stalls: list[tuple[float, float]] = attrs.field(factory=list)


@attrs.define
class SoakChecks:
    """Checks the guarantees of a run and records violations in its report.

    Attributes:
        site: Site under test.
        report: Result, filled during the run.
        was_only_refused: By job id, whether all submissions were refused.
        deadly_jobs: Ids of the jobs whose tasks crash targets.
        stalls: Records when this process stood still.
        started: Monotonic time of the start of the load.
    """

    site: LoopbackSite
    report: SoakReport
    was_only_refused: dict[str, bool] = attrs.field(factory=dict)
    deadly_jobs: list[str] = attrs.field(factory=list)
    stalls: StallRecorder = attrs.field(factory=StallRecorder)
    started: float = attrs.field(factory=time.monotonic)

    def check_completed_job(self, job: str, tasks: int) -> None:
        """Checks that all tasks of a completed job ended with success."""
        done = set()
        for target in self.site.targets:
            target.target.advance(time.monotonic())
            done |= {
                task
                for _, task, _, how in target.target.ends
                if how.value == "done" and task.startswith(job)
            }
        if len(done) != tasks:
            self.add_violation(
                f"job {job} was answered as completed, but {len(done)} of "
                f"its {tasks} tasks ran to their end"
            )

    def check_failed_job(self, job: str) -> None:
        """Checks that two targets crashed while they ran a task of a job."""
        broken = collections.Counter(
            task
            for target in self.site.targets
            for _, task, _, how in target.target.ends
            if how.value == "broken" and task.startswith(job)
        )
        if max(broken.values(), default=0) < CRASHES_TO_GIVE_UP:
            self.add_violation(f"job {job} was answered as failed")

    def add_violation(self, text: str) -> None:
        """Adds a violation with the present time to the report."""
        at = time.monotonic() - self.started
        self.report.violations.append(f"{at:.2f} s: {text}")

    async def check_recovery(self) -> None:
        """Checks that every entry serves a job within the recovery limit."""
        end = time.monotonic() + RECOVERY_LIMIT_S
        # All at once: one after the other, dozens of entries do not fit in.
        await asyncio.gather(
            *(self._check_recovery_of(name, end) for name in self.site.entries)
        )

    async def _check_recovery_of(self, name: str, end: float) -> None:
        """Checks that an entry serves a job by a monotonic time."""
        status = None
        while time.monotonic() < end:
            answer = await self.site.submit(name, self.site.new_job_id())
            status = answer.status if isinstance(answer, ClientResponse) else 0
            if status == 200 and time.monotonic() < end:
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        process = self.site.entries[name].process
        exit_status = process.poll() if process else "not started"
        self.add_violation(
            f"{name} did not serve a job within {RECOVERY_LIMIT_S} s "
            f"after the faults; last status {status}, 200 expected; "
            f"exit status {exit_status}"
        )

    async def check_route(self, prefix: str) -> None:
        """Checks that every entry has a new route in time.

        The limit is longer by the time for which this process, which carries
        the store, is measured to have stood still meanwhile.
        """
        started = time.monotonic()
        # All at once, as above.
        await asyncio.gather(
            *(
                self._check_route_of(name, prefix, started)
                for name in self.site.entries
            )
        )

    async def _check_route_of(
        self, name: str, prefix: str, started: float
    ) -> None:
        """Checks that an entry has a route in time since a monotonic time."""
        entry = self.site.entries[name]
        before = sample_entry(entry)
        while time.monotonic() < (
            started + APPLY_LIMIT_S + self.stalls.stalled_s(started)
        ):
            await asyncio.sleep(RETRY_PAUSE_S)
            if await self.site.has_route(name, prefix):
                return
        self.add_violation(
            f"{name} did not use a new configuration within {APPLY_LIMIT_S} s "
            f"and {self.stalls.stalled_s(started):.2f} s for which the store "
            f"stood still; {describe_process(before, sample_entry(entry))}"
        )
        entry.send_signal(signal.SIGQUIT)
        await asyncio.sleep(STACK_TIME_S)

    def describe_runs(self, task: str) -> list[str]:
        """Describes the runs of a task: target, number, start and end."""
        runs = []
        for server in self.site.targets:
            target = server.target
            ends = [e for e in target.ends if e[1] == task]
            for at, name, run in target.starts:
                if name != task:
                    continue
                ended = [
                    f"{how.value} {end - self.started:.3f}"
                    for end, _, number, how in ends
                    if number == run
                ]
                runs.append(
                    f"{server.name}/{run} {at - self.started:.3f}"
                    f" to {ended or 'now'}"
                )
        return runs

    def check_task_history(self) -> None:
        """Checks that no task overlapped itself and no refused job ran."""
        for task in self.site.find_overlapping_tasks():
            self.add_violation(
                f"task {task} ran twice at the same time: "
                + "; ".join(self.describe_runs(task))
            )
        starts = collections.Counter(
            task
            for target in self.site.targets
            for _, task, _ in target.target.starts
        )
        for task, count in starts.items():
            is_deadly = task.partition(".")[0] in self.deadly_jobs
            if is_deadly and count > MAX_DEADLY_STARTS:
                self.add_violation(
                    f"task {task}, which crashes targets, started {count} times"
                )
        started = {
            task.partition(".")[0]
            for target in self.site.targets
            for _, task, _ in target.target.starts
        }
        for job, only_refused in self.was_only_refused.items():
            if only_refused and job in started:
                self.add_violation(
                    f"job {job} ran although all its submissions were refused"
                )


def sample_entry(entry: EntryProcess) -> ProcessSample | None:
    """Returns what the process of an entry has done; None without one."""
    if entry.process is None or entry.process.poll() is not None:
        return None
    return sample_process(entry.process.pid)
