"""Simulates a site: a virtual clock, fake targets and fake entries."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from anvilford.experiments._baselines import ClairvoyantDispatcher
from anvilford.experiments._baselines import FifoDispatcher
from anvilford.experiments._scenario import Fault
from anvilford.experiments._scenario import Scenario
from anvilford.experiments._workload import Arrival
from anvilford.experiments._workload import SERVICE
from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import NotRun
from anvilford.model import NotStartedReason
from anvilford.model import UnknownAttemptReason
from anvilford.scheduling import CancelAttempt
from anvilford.scheduling import Dispatcher
from anvilford.scheduling import Effect
from anvilford.scheduling import JobFinished
from anvilford.scheduling import Policy
from anvilford.scheduling import ServicePolicy
from anvilford.scheduling import StartAttempt
from anvilford.scheduling import TargetView

POLICIES = (
    "round_robin_fifo",
    "least_outstanding_fifo",
    "anvilford",
    "clairvoyant",
)
# One-way network delay within a zone, where a round trip takes under 1 ms.
LOCAL_DELAY_S = 0.0001
# Time after which a failing target reports that a task failed.
FAILURE_DELAY_S = 0.005


@attrs.define
class JobRecord:
    """Answer and number of started tasks of one job.

    Attributes:
        arrival: Job and its arrival.
        answered_at: Time at which the entry answered, in seconds since the
            start of the run; infinite until then.
        outcome: "complete", "failed" or "not_run"; "unanswered" until then.
        started_tasks: Number of tasks that targets accepted.
    """

    arrival: Arrival
    answered_at: float = float("inf")
    outcome: str = "unanswered"
    started_tasks: int = 0


@attrs.define
class RunTotals:
    """Counts of messages in one run.

    Attributes:
        starts: Number of start messages sent to targets.
        refused_starts: Number of start messages that targets refused as busy.
        cancels: Number of cancel messages sent to targets.
        retries: Number of retries; always 0, as nothing increments it.
        overbooked: Unused; always 0.
        max_ejected_share: Highest share of the targets of an entry that were
            ejected at a time, sampled once per second.
    """

    starts: int = 0
    refused_starts: int = 0
    cancels: int = 0
    retries: int = 0
    overbooked: int = 0
    max_ejected_share: float = 0.0


class VirtualClock:
    """Event loop that advances a virtual time from event to event.

    Attributes:
        now: Virtual time in seconds since the start of the run.
    """

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()

    def call_at(self, when: float, function: Callable, *arguments: Any) -> None:
        """Schedules a call at the virtual time `when`.

        Calls scheduled for the same time run in the order of scheduling.
        """
        heapq.heappush(
            self._heap, (when, next(self._order), function, arguments)
        )

    def run(self) -> None:
        """Runs scheduled calls in order of time until none is left."""
        while self._heap:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)


class FakeTarget:
    """Simulated target with slots, a speed and possibly faults.

    Attributes:
        clock: Clock of the simulation.
        slots: Number of tasks that run at a time; more are refused as busy.
        speed: Speed relative to the fastest target.
        faults: Faults of this target.
        running: Callback for the outcome of each running attempt, by attempt
            id.
    """

    def __init__(
        self, clock: VirtualClock, slots: int, speed: float, faults: list[Fault]
    ):
        self.clock = clock
        self.slots = slots
        self.speed = speed
        self.faults = faults
        self.running: dict[str, Callable[[AttemptOutcome], None]] = {}

    def start(
        self,
        attempt_id: str,
        run_time: float,
        report: Callable[[AttemptOutcome], None],
    ) -> bool:
        """Starts a task if a slot is free.

        Args:
            attempt_id: Id of the attempt.
            run_time: Run time on the fastest target, in seconds.
            report: Callback for the outcome; called at once if the task is
                refused, otherwise when it ends.

        Returns:
            Whether the task was accepted.
        """
        if len(self.running) >= self.slots:
            report(AttemptNotStarted(NotStartedReason.BUSY))
            return False
        self.running[attempt_id] = report
        duration = run_time / self.speed
        outcome: AttemptOutcome = AttemptSucceeded(None)
        for fault in self.faults:
            if fault.start_s <= self.clock.now < fault.end_s:
                if fault.kind == "fail":
                    duration = FAILURE_DELAY_S
                    outcome = AttemptFailed("fault")
                else:
                    duration *= fault.factor
        self.clock.call_at(
            self.clock.now + duration, self._end_attempt, attempt_id, outcome
        )
        return True

    def cancel(self, attempt_id: str) -> None:
        """Ends an attempt with an unknown outcome if it still runs."""
        self._end_attempt(
            attempt_id, AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
        )

    def _end_attempt(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        report = self.running.pop(attempt_id, None)
        if report is not None:
            report(outcome)


class FakeEntry:
    """Simulated entry that executes the effects of one dispatcher.

    Messages to and from targets take the network delay between the zones.

    Attributes:
        simulation: Simulation that the entry belongs to.
        zone: Zone of the entry; "" for the entry of the clairvoyant policy,
            which has the local delay to all targets.
        dispatcher: Dispatcher that implements the policy.
    """

    def __init__(self, simulation: "Simulation", zone: str, dispatcher: Any):
        self.simulation = simulation
        self.zone = zone
        self.dispatcher = dispatcher
        self._wakeup = float("inf")

    def submit(self, key: int, arrival: Arrival) -> None:
        """Submits an arriving job to the dispatcher."""
        now = self.simulation.clock.now
        self._execute_effects(
            self.dispatcher.submit(key, arrival.job, arrival.caller, now)
        )

    def _execute_effects(self, effects: list[Effect]) -> None:
        simulation = self.simulation
        now = simulation.clock.now
        for effect in effects:
            match effect:
                case StartAttempt(target_id=target_id):
                    simulation.totals.starts += 1
                    simulation.clock.call_at(
                        now + self._one_way_delay(target_id),
                        self._deliver_start,
                        effect,
                    )
                case CancelAttempt(attempt_id, target_id):
                    simulation.totals.cancels += 1
                    simulation.clock.call_at(
                        now + self._one_way_delay(target_id),
                        simulation.targets[target_id].cancel,
                        attempt_id,
                    )
                case JobFinished(job_key, answer):
                    simulation.record_answer(job_key, answer)
        wakeup = self.dispatcher.next_wakeup()
        if wakeup is not None and wakeup < self._wakeup:
            self._wakeup = wakeup
            simulation.clock.call_at(
                max(now, wakeup), self._advance_dispatcher, wakeup
            )

    def _advance_dispatcher(self, wakeup: float) -> None:
        if wakeup == self._wakeup:
            self._wakeup = float("inf")
            self._execute_effects(
                self.dispatcher.advance(self.simulation.clock.now)
            )

    def _deliver_start(self, start: StartAttempt) -> None:
        simulation = self.simulation
        delay = self._one_way_delay(start.target_id)

        def report(outcome: AttemptOutcome) -> None:
            simulation.clock.call_at(
                simulation.clock.now + delay,
                self._deliver_outcome,
                start.attempt_id,
                outcome,
            )

        accepted = simulation.targets[start.target_id].start(
            start.attempt_id, start.task.payload, report
        )
        if accepted:
            simulation.records[start.job_key].started_tasks += 1
        else:
            simulation.totals.refused_starts += 1

    def _deliver_outcome(
        self, attempt_id: str, outcome: AttemptOutcome
    ) -> None:
        now = self.simulation.clock.now
        self._execute_effects(self.dispatcher.finish(attempt_id, outcome, now))

    def _one_way_delay(self, target_id: str) -> float:
        if self.zone in ("", self.simulation.zones[target_id]):
            return LOCAL_DELAY_S
        return self.simulation.scenario.zone_delay_ms / 1000


class Simulation:
    """One run of one policy on given arrivals.

    Attributes:
        scenario: Scenario to simulate.
        policy: One of `POLICIES`.
        seed: Seed of the random numbers of the policy itself.
        records: Record of each arrival by job key; `run` updates them.
        totals: Counts of messages; `run` updates them.
        clock: Clock of the simulation.
        targets: Targets by id, created by `run`.
        zones: Zone of each target by its id, set by `run`.
        entries: Entries, created by `run`.
    """

    def __init__(
        self,
        scenario: Scenario,
        policy: str,
        seed: int,
        arrivals: list[Arrival],
    ):
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.records = [JobRecord(arrival) for arrival in arrivals]
        self.totals = RunTotals()
        self.clock = VirtualClock()
        self.targets: dict[str, FakeTarget] = {}
        self.zones: dict[str, str] = {}
        self.entries: list[FakeEntry] = []

    def run(self) -> None:
        """Simulates until all jobs are answered and all tasks have ended."""
        self._add_targets()
        if self.policy == "clairvoyant":
            self._add_clairvoyant_entry()
        else:
            for index in range(len(self.scenario.entries)):
                self._add_entry(index)
        for key, record in enumerate(self.records):
            entry = self.entries[record.arrival.entry % len(self.entries)]
            self.clock.call_at(
                record.arrival.time_s, entry.submit, key, record.arrival
            )
        end = self.scenario.warmup_s + self.scenario.duration_s
        for second in range(int(end)):
            self.clock.call_at(float(second), self._record_ejected_share)
        self.clock.run()

    def record_answer(
        self, job_key: int, answer: Complete | Failed | NotRun
    ) -> None:
        """Records the answer of a job and the time of the answer."""
        record = self.records[job_key]
        record.answered_at = self.clock.now
        match answer:
            case Complete():
                record.outcome = "complete"
            case Failed():
                record.outcome = "failed"
            case NotRun():
                record.outcome = "not_run"

    def _record_ejected_share(self) -> None:
        for entry in self.entries:
            if isinstance(entry.dispatcher, Dispatcher):
                ejected = entry.dispatcher.stats().ejected
                share = ejected / len(entry.dispatcher.targets)
                self.totals.max_ejected_share = max(
                    self.totals.max_ejected_share, share
                )

    def _add_targets(self) -> None:
        for index in range(self.scenario.targets):
            target_id = f"target-{index}"
            self.zones[target_id] = self.scenario.zone_of(index)
            self.targets[target_id] = FakeTarget(
                self.clock,
                self.scenario.slots,
                self.scenario.speed_of(index),
                [f for f in self.scenario.faults if f.target == index],
            )

    def _add_clairvoyant_entry(self) -> None:
        speeds = {
            target_id: target.speed
            for target_id, target in self.targets.items()
            if not target.faults
        }
        dispatcher = ClairvoyantDispatcher("c", speeds)
        views = [
            TargetView(i, i, self.zones[i], self.scenario.slots, True)
            for i in self.targets
        ]
        dispatcher.apply_targets(views, 0.0)
        self.entries.append(FakeEntry(self, "", dispatcher))

    def _add_entry(self, index: int) -> None:
        zone = self.scenario.entries[index].zone
        dispatcher: Any
        match self.policy:
            case "anvilford":
                dispatcher = Dispatcher(
                    zone,
                    f"e{index}",
                    Policy(
                        self.scenario.preset, {SERVICE: ServicePolicy(SERVICE)}
                    ),
                    random.Random(f"policy-{self.seed}-{index}"),
                )
            case _:
                dispatcher = FifoDispatcher(
                    f"e{index}", self.policy == "least_outstanding_fifo"
                )
        views = []
        for position, target_id in enumerate(self.targets):
            slots = self._slots_of_entry(index, position, self.zones[target_id])
            if slots:
                views.append(
                    TargetView(
                        target_id,
                        target_id,
                        self.zones[target_id],
                        slots,
                        True,
                    )
                )
        dispatcher.apply_targets(views, 0.0)
        self.entries.append(FakeEntry(self, zone, dispatcher))

    def _slots_of_entry(self, index: int, position: int, zone: str) -> int:
        """Returns the number of slots that an entry may use at a target.

        The entries in the zone of the target divide its slots by weight. Other
        entries may use the scenario's remote slots, and only with the policy
        "anvilford".

        Args:
            index: Index of the entry.
            position: Index of the target.
            zone: Zone of the target.
        """
        entry = self.scenario.entries[index]
        if entry.zone != zone:
            remote = self.scenario.remote_slots
            return remote if self.policy == "anvilford" else 0
        peers = [
            i for i, e in enumerate(self.scenario.entries) if e.zone == zone
        ]
        # Slots left over after rounding down go to the entries with the largest
        # remainders. The position of the target breaks ties, so that the same
        # entry does not lose at every target.
        total = sum(self.scenario.entries[i].weight for i in peers)
        exact = {
            i: self.scenario.slots * self.scenario.entries[i].weight / total
            for i in peers
        }
        slots = {i: int(exact[i]) for i in peers}
        by_remainder = sorted(
            peers,
            key=lambda i: (
                slots[i] - exact[i],
                (peers.index(i) + position) % len(peers),
            ),
        )
        for i in by_remainder[: self.scenario.slots - sum(slots.values())]:
            slots[i] += 1
        return slots[index]
