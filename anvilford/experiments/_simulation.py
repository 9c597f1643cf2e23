"""Event loop on a virtual clock, with fakes of targets and entries."""

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
# A round trip within a zone costs under 1 ms.
LOCAL_DELAY = 0.0001
# A failing target fails a task after this time.
FAILURE_TIME = 0.005


@attrs.define
class JobRecord:
    """What became of one job.

    Attributes:
        arrival: The job.
        answered: Time at which the entry answered, in seconds.
        kind: "complete", "failed" or "not_run".
        started: Number of its tasks that started at a target.
    """

    arrival: Arrival
    answered: float = float("inf")
    kind: str = "unanswered"
    started: int = 0


@attrs.define
class Totals:
    """Messages and violations of one run."""

    starts: int = 0
    refused_starts: int = 0
    cancels: int = 0
    retries: int = 0
    overbooked: int = 0
    most_ejected: float = 0.0


class Clock:
    """Virtual clock with a heap of events."""

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()

    def at(self, when: float, function: Callable, *arguments: Any) -> None:
        """Calls a function at a time."""
        heapq.heappush(
            self._heap, (when, next(self._order), function, arguments)
        )

    def run(self) -> None:
        """Runs until no event is left."""
        while self._heap:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)


class FakeTarget:
    """A target with slots and a speed, possibly failing or slow.

    Attributes:
        clock: The clock.
        slots: Tasks it runs at a time; more are refused as busy.
        speed: Speed relative to the fastest target.
        faults: When it fails or is slow.
        running: Running attempts and how to report their end.
    """

    def __init__(
        self, clock: Clock, slots: int, speed: float, faults: list[Fault]
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
        """Runs a task; returns whether it was accepted."""
        if len(self.running) >= self.slots:
            report(AttemptNotStarted(NotStartedReason.BUSY))
            return False
        self.running[attempt_id] = report
        duration = run_time / self.speed
        outcome: AttemptOutcome = AttemptSucceeded(None)
        for fault in self.faults:
            if fault.start_s <= self.clock.now < fault.end_s:
                if fault.kind == "fail":
                    duration = FAILURE_TIME
                    outcome = AttemptFailed("fault")
                else:
                    duration *= fault.factor
        self.clock.at(self.clock.now + duration, self._end, attempt_id, outcome)
        return True

    def cancel(self, attempt_id: str) -> None:
        """Stops a task if it still runs."""
        self._end(
            attempt_id, AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
        )

    def _end(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        report = self.running.pop(attempt_id, None)
        if report is not None:
            report(outcome)


class FakeEntry:
    """Carries out the effects of one dispatcher.

    Attributes:
        simulation: The run it belongs to.
        zone: Its zone, or "" for the clairvoyant, which is near every target.
        dispatcher: The policy.
    """

    def __init__(self, simulation: "Simulation", zone: str, dispatcher: Any):
        self.simulation = simulation
        self.zone = zone
        self.dispatcher = dispatcher
        self._wakeup = float("inf")

    def submit(self, key: int, arrival: Arrival) -> None:
        """Hands a job to the dispatcher."""
        now = self.simulation.clock.now
        self._apply(
            self.dispatcher.submit(key, arrival.job, arrival.caller, now)
        )

    def _apply(self, effects: list[Effect]) -> None:
        simulation = self.simulation
        now = simulation.clock.now
        for effect in effects:
            match effect:
                case StartAttempt(target_id=target_id):
                    simulation.totals.starts += 1
                    simulation.clock.at(
                        now + self._delay(target_id), self._arrive, effect
                    )
                case CancelAttempt(attempt_id, target_id):
                    simulation.totals.cancels += 1
                    simulation.clock.at(
                        now + self._delay(target_id),
                        simulation.targets[target_id].cancel,
                        attempt_id,
                    )
                case JobFinished(job_key, answer):
                    simulation.observe_answer(job_key, answer)
        wakeup = self.dispatcher.next_wakeup()
        if wakeup is not None and wakeup < self._wakeup:
            self._wakeup = wakeup
            simulation.clock.at(max(now, wakeup), self._wake, wakeup)

    def _wake(self, wakeup: float) -> None:
        if wakeup == self._wakeup:
            self._wakeup = float("inf")
            self._apply(self.dispatcher.advance(self.simulation.clock.now))

    def _arrive(self, start: StartAttempt) -> None:
        simulation = self.simulation
        delay = self._delay(start.target_id)

        def report(outcome: AttemptOutcome) -> None:
            simulation.clock.at(
                simulation.clock.now + delay,
                self._finish,
                start.attempt_id,
                outcome,
            )

        accepted = simulation.targets[start.target_id].start(
            start.attempt_id, start.task.payload, report
        )
        if accepted:
            simulation.records[start.job_key].started += 1
        else:
            simulation.totals.refused_starts += 1

    def _finish(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        now = self.simulation.clock.now
        self._apply(self.dispatcher.finish(attempt_id, outcome, now))

    def _delay(self, target_id: str) -> float:
        if self.zone in ("", self.simulation.zones[target_id]):
            return LOCAL_DELAY
        return self.simulation.scenario.zone_delay_ms / 1000


class Simulation:
    """One run of one policy on given arrivals.

    Attributes:
        scenario: What is simulated.
        policy: One of `POLICIES`.
        seed: Seed of the policy's own randomness.
        records: What became of each arrival, filled by `run`.
        totals: Messages and violations, filled by `run`.
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
        self.totals = Totals()
        self.clock = Clock()
        self.targets: dict[str, FakeTarget] = {}
        self.zones: dict[str, str] = {}
        self.entries: list[FakeEntry] = []

    def run(self) -> None:
        """Simulates until every job is answered and every task is over."""
        self._make_targets()
        if self.policy == "clairvoyant":
            self._make_clairvoyant()
        else:
            for index in range(len(self.scenario.entries)):
                self._make_entry(index)
        for key, record in enumerate(self.records):
            entry = self.entries[record.arrival.entry % len(self.entries)]
            self.clock.at(
                record.arrival.when, entry.submit, key, record.arrival
            )
        end = self.scenario.warmup_s + self.scenario.duration_s
        for second in range(int(end)):
            self.clock.at(float(second), self._observe_ejections)
        self.clock.run()

    def observe_answer(
        self, job_key: int, answer: Complete | Failed | NotRun
    ) -> None:
        """Records the answer of a job."""
        record = self.records[job_key]
        record.answered = self.clock.now
        match answer:
            case Complete():
                record.kind = "complete"
            case Failed():
                record.kind = "failed"
            case NotRun():
                record.kind = "not_run"

    def _observe_ejections(self) -> None:
        for entry in self.entries:
            if isinstance(entry.dispatcher, Dispatcher):
                ejected = entry.dispatcher.stats().ejected
                share = ejected / len(entry.dispatcher.targets)
                self.totals.most_ejected = max(self.totals.most_ejected, share)

    def _make_targets(self) -> None:
        for index in range(self.scenario.targets):
            target_id = f"target-{index}"
            self.zones[target_id] = self.scenario.zone_of(index)
            self.targets[target_id] = FakeTarget(
                self.clock,
                self.scenario.slots,
                self.scenario.speed_of(index),
                [f for f in self.scenario.faults if f.target == index],
            )

    def _make_clairvoyant(self) -> None:
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

    def _make_entry(self, index: int) -> None:
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
            slots = self._share(index, position, self.zones[target_id])
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

    def _share(self, index: int, position: int, zone: str) -> int:
        """Returns an entry's slots at a target: by weight in its own zone."""
        entry = self.scenario.entries[index]
        if entry.zone != zone:
            remote = self.scenario.remote_slots
            return remote if self.policy == "anvilford" else 0
        peers = [
            i for i, e in enumerate(self.scenario.entries) if e.zone == zone
        ]
        # Slots left over by rounding down go to the largest remainders; the
        # target's position breaks ties so that no entry always loses.
        total = sum(self.scenario.entries[i].weight for i in peers)
        exact = {
            i: self.scenario.slots * self.scenario.entries[i].weight / total
            for i in peers
        }
        slots = {i: int(exact[i]) for i in peers}
        order = sorted(
            peers,
            key=lambda i: (
                slots[i] - exact[i],
                (peers.index(i) + position) % len(peers),
            ),
        )
        for i in order[: self.scenario.slots - sum(slots.values())]:
            slots[i] += 1
        return slots[index]
