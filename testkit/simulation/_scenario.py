"""Simulated callers and fault injection."""

import json
import random

import attrs

from anvilford.entry import DrainRequested
from anvilford.entry import SubmissionRequested
from anvilford.entry import TargetMarked
from anvilford.model import decode_answer
from anvilford.model import EncodedAnswer
from anvilford.model import parse_job
from anvilford.model import SubmissionId
from anvilford.protocol import RequestKind
from testkit.simulation import _faults
from testkit.simulation._history import AnswerReceived
from testkit.simulation._history import History
from testkit.simulation._history import RequestSent
from testkit.simulation._history import TargetBeganLeaving
from testkit.simulation._network import EntryProcess
from testkit.simulation._network import Network
from testkit.simulation._network import NetworkOptions
from testkit.simulation._network import SERVICE

CALLERS = ("line-1", "line-2", "desk-1")
# Time before the load, in which entries read the platform and each other.
WARM_UP_S = 2.0
# Deadline of cancel requests.
CANCEL_DEADLINE_MS = 2000


@attrs.frozen
class Scenario:
    """Load, faults and size of a run.

    Attributes:
        faults: Faults with their times after the warm-up.
        load_duration: Time during which callers submit jobs, in seconds.
        jobs_per_second: Mean arrival rate of jobs; intervals are exponential.
        max_tasks: Largest number of tasks in a job.
        resubmit_probability: Probability that a caller submits a job once
            more, at a random entry; each repetition is drawn again.
        cancel_probability: Probability that a caller cancels a job.
        first_entry_probability: Probability that a caller chooses the first
            ready entry instead of a random one.
        settle_time: Time after the load until the run ends, in seconds.
        network: Size of the site and message faults.
    """

    faults: tuple[_faults.Fault, ...] = ()
    load_duration: float = 6.0
    jobs_per_second: float = 30.0
    max_tasks: int = 6
    resubmit_probability: float = 0.4
    cancel_probability: float = 0.05
    first_entry_probability: float = 0.0
    settle_time: float = 12.0
    network: NetworkOptions = NetworkOptions()


@attrs.frozen
class SimulatedJob:
    """A job that a caller submits under one submission id.

    `body` is the JSON document and `uids` are the ids in the task payloads.
    """

    submission_id: SubmissionId
    caller: str
    body: bytes
    uids: tuple[str, ...]
    deadline_ms: int
    repeatable: bool


class ScenarioRun:
    """Submits the jobs and injects the faults of one run.

    Attributes:
        scenario: Load, faults and size of the run.
        network: The simulated site.
        rng: Random source of callers and faults.
        jobs: All jobs submitted so far.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.network = Network(scenario.network, seed)
        self.network.on_answer = self._record_answer
        self.rng = random.Random(seed + 1)
        self.jobs: list[SimulatedJob] = []
        self._requests = 0

    def run(self) -> History:
        """Runs the scenario and returns its history."""
        network = self.network
        network.platform.apply(0, "ordinary", "first", 0.0)
        network.run_until(WARM_UP_S)
        for fault in self.scenario.faults:
            network.schedule(fault.at, lambda fault=fault: self._inject(fault))
        at = 0.0
        while at < self.scenario.load_duration:
            network.schedule(at, self._submit_job)
            at += self.rng.expovariate(self.scenario.jobs_per_second)
        end = (
            WARM_UP_S + self.scenario.load_duration + self.scenario.settle_time
        )
        network.run_until(end)
        network.history.ended_at = end
        network.history.versions_at_end = {
            address: entry.core.register.version
            for address, entry in network.entries.items()
            if not entry.is_dead
        }
        return network.history

    def _submit_job(self) -> None:
        """Submits a new job, with random resubmissions and cancellation.

        No job is submitted while no entry is ready.
        """
        entry = self._choose_ready_entry()
        if entry is None:
            return
        caller = self.rng.choice(CALLERS)
        submission_id = entry.core.issue_ids(caller, 1)[0]
        job = self._random_job(submission_id, caller)
        self.jobs.append(job)
        self._send(job, RequestKind.SUBMIT, entry.core.me.address, 0.003)
        while self.rng.random() < self.scenario.resubmit_probability:
            address = self.rng.choice(list(self.network.entries))
            delay = self.rng.expovariate(2.0)
            self._send(job, RequestKind.SUBMIT, address, delay)
        if self.rng.random() < self.scenario.cancel_probability:
            address = self.rng.choice(list(self.network.entries))
            delay = self.rng.expovariate(4.0)
            self._send(job, RequestKind.CANCEL, address, delay)

    def _choose_ready_entry(self) -> EntryProcess | None:
        now = self.network.now
        candidates = [
            entry
            for entry in self.network.entries.values()
            if not entry.is_dead
            and entry.suspended_until <= now
            and entry.core.is_ready(now)
            and not entry.core.is_draining
        ]
        if not candidates:
            return None
        if (
            self.scenario.first_entry_probability
            and self.rng.random() < self.scenario.first_entry_probability
        ):
            return candidates[0]
        return self.rng.choice(candidates)

    def _random_job(
        self, submission_id: SubmissionId, caller: str
    ) -> SimulatedJob:
        number = len(self.jobs)
        count = self.rng.randint(1, self.scenario.max_tasks)
        uids = tuple(f"job-{number}/{index}" for index in range(count))
        deadline_ms = self.rng.choice((800, 2000, 4000))
        document = {
            "service": SERVICE,
            "deadline_ms": deadline_ms,
            "repeatable": self.rng.random() < 0.5,
            "tasks": [
                {
                    "operation": "check",
                    "payload": {"uid": uid, "run_s": self._random_run_time()},
                }
                for uid in uids
            ],
        }
        return SimulatedJob(
            submission_id,
            caller,
            json.dumps(document).encode(),
            uids,
            deadline_ms,
            document["repeatable"],
        )

    def _random_run_time(self) -> float:
        if self.rng.random() < 0.03:
            return self.rng.uniform(2.0, 6.0)
        return self.rng.uniform(0.02, 0.3)

    def _send(
        self, job: SimulatedJob, kind: RequestKind, address: str, delay: float
    ) -> None:
        self.network.schedule(
            delay, lambda: self._deliver_request(job, kind, address)
        )

    def _deliver_request(
        self, job: SimulatedJob, kind: RequestKind, address: str
    ) -> None:
        """Sends a request if the entry is alive and ready; else drops it."""
        network = self.network
        entry = network.entries[address]
        if entry.is_dead:
            return
        if not entry.core.is_ready(network.now):
            return
        request = f"request-{self._requests}"
        self._requests += 1
        is_submit = kind is RequestKind.SUBMIT
        deadline_ms = job.deadline_ms if is_submit else CANCEL_DEADLINE_MS
        network.history.record(
            RequestSent(
                network.now,
                request,
                job.caller,
                str(job.submission_id),
                kind,
                network.process_label(entry),
                job.uids if is_submit else (),
                network.now + deadline_ms / 1000,
                job.repeatable,
            )
        )
        event = SubmissionRequested(
            request,
            job.caller,
            job.submission_id,
            kind,
            parse_job(job.body).ok if is_submit else None,
            job.body if is_submit else b"",
            deadline_ms,
        )
        network.deliver(entry, event)

    def _record_answer(self, request: str, answer: EncodedAnswer) -> None:
        network = self.network
        network.history.record(
            AnswerReceived(network.now, request, decode_answer(answer))
        )

    def _inject(self, fault: _faults.Fault) -> None:
        network = self.network
        match fault:
            case _faults.SuspendEntry(_, index, duration):
                network.suspend(self._address(index), duration)
            case _faults.KillEntry(_, index, restart_after):
                network.kill(self._address(index))
                self._restart(self._address(index), restart_after)
            case _faults.DrainEntry(_, index, restart_after):
                entry = network.entries[self._address(index)]
                network.deliver(entry, DrainRequested())
                self._restart(self._address(index), restart_after)
            case _faults.PartitionZone(_, zone, duration):
                self._partition_zone(f"zone-{zone}", duration)
            case _faults.CancelWave(_, share):
                self._cancel_wave(share)
            case _:
                self._inject_environment_fault(fault)

    def _inject_environment_fault(self, fault: _faults.Fault) -> None:
        """Injects a fault of a target, the platform or the operators."""
        network = self.network
        match fault:
            case _faults.PlatformOutage(_, duration):
                network.platform.is_down = True
                until = network.now + duration
                network.history.partitions.append(
                    ("platform", network.now, until)
                )
                network.schedule(duration, self._end_outage)
            case _faults.FailingTarget(_, target, duration):
                self._set_target_fault(target, "is_failing", duration)
            case _faults.HangTarget(_, target, duration):
                self._set_target_fault(target, "is_hanging", duration)
            case _faults.KillTarget(_, target):
                self._target(target).is_dead = True
            case _faults.TargetLeaving(_, target, by):
                self._start_target_leaving(target, by)
            case _faults.ApplyConfiguration(_, preset):
                version = network.platform.configuration_row[0]
                for operator in ("first", "second"):
                    operation = f"{operator}-{network.now}"
                    network.platform.apply(
                        version, preset, operation, network.now
                    )

    def _address(self, index: int) -> str:
        addresses = sorted(self.network.entries)
        return addresses[index % len(addresses)]

    def _target(self, index: int):
        addresses = sorted(self.network.targets)
        return self.network.targets[addresses[index % len(addresses)]]

    def _set_target_fault(
        self, index: int, fault: str, duration: float
    ) -> None:
        target = self._target(index)
        setattr(target, fault, True)
        self.network.schedule(duration, lambda: setattr(target, fault, False))

    def _restart(self, address: str, delay: float) -> None:
        """Starts a new process after a delay, once the old one has ended."""
        network = self.network
        entry = network.entries[address]

        def attempt() -> None:
            if not entry.is_dead:
                network.schedule(0.5, attempt)
            elif network.entries[address] is entry:
                network.start_entry(address, entry.core.me.zone)

        network.schedule(delay, attempt)

    def _partition_zone(self, zone: str, duration: float) -> None:
        network = self.network
        network.partitioned_zones.add(zone)
        until = network.now + duration
        network.history.partitions.append((zone, network.now, until))
        network.schedule(
            duration, lambda: network.partitioned_zones.discard(zone)
        )

    def _end_outage(self) -> None:
        self.network.platform.is_down = False

    def _start_target_leaving(self, index: int, by: str) -> None:
        network = self.network
        target = self._target(index)
        if by == "answer":
            target.refuses_as_leaving = True
            return
        left = TargetBeganLeaving(network.now, target.vm_id)
        if by == "list":
            network.history.record(left)
            network.platform.set_leaving(target.vm_id, network.now)
            return
        entry = self._choose_ready_entry()
        if entry is not None:
            network.history.record(left)
            network.deliver(entry, TargetMarked(target.vm_id, True))

    def _cancel_wave(self, share: float) -> None:
        for job in self.jobs[-60:]:
            if self.rng.random() < share:
                address = self.rng.choice(list(self.network.entries))
                self._send(job, RequestKind.CANCEL, address, 0.003)


def run_scenario(scenario: Scenario, seed: int) -> History:
    """Runs a scenario; the same seed always gives the same history."""
    return ScenarioRun(scenario, seed).run()
