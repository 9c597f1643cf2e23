"""Placers and targets on a virtual clock."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Ending
from anvilford.order_model._load import Result
from anvilford.order_model._target import FakeTarget
from anvilford.order_model._target import overlapping_tasks
from anvilford.placement import Decision
from anvilford.placement import FenceLost
from anvilford.placement import NoAnswer
from anvilford.placement import NotSent
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import Placer
from anvilford.placement import Poll
from anvilford.placement import Settle
from anvilford.placement import StartRun
from anvilford.placement import StopRun

ONE_WAY_S = 0.0005
TICK_S = 0.02
ORDER_TIMEOUT_S = 0.15
DEADLINE_S = 2.3


@attrs.define
class InjectedFaults:
    """What goes wrong; changed by tests while the site runs.

    Attributes:
        lost_orders: Share of the orders that are carried out late, unanswered.
        lost_answers: Share of the orders whose answer is lost.
        cut: Pairs of placer name and target id that cannot reach each other.
    """

    delayed_order_share: float = 0.0
    lost_answer_share: float = 0.0
    partitioned_pairs: set[tuple[str, str]] = attrs.field(factory=set)


class PlacementSimulation:
    """Runs placers against targets and checks what the targets see.

    Attributes:
        targets: Targets by id.
        faults: What goes wrong.
        now: Time.
        placers: Placers by name.
        outcomes: Outcomes as (time, placer, job id, outcome).
        decisions: Log lines.
        needs: Need and true seconds of tasks, by task name.
        fence_losses: Fence losses as (placer, target id).
    """

    def __init__(self, targets: list[FakeTarget], seed: int = 0):
        self.targets = {t.record.target_id: t for t in targets}
        self.faults = InjectedFaults()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.placers: dict[str, Placer] = {}
        self.outcomes: list[tuple[float, str, str, Outcome]] = []
        self.decisions: list[Decision] = []
        self.fence_losses: list[tuple[str, str]] = []
        self.task_demands: dict[str, tuple] = {}
        self._events: list = []
        self._numbers = itertools.count()
        self._waiting_polls: dict[str, list] = collections.defaultdict(list)

    def add_placer(
        self,
        name: str,
        fence: int,
        options: PlacementOptions | None = None,
    ) -> Placer:
        """Starts a placer that knows all targets."""
        placer = Placer(
            fence,
            self.now,
            options or PlacementOptions(),
            random.Random(self.rng.random()),
        )
        self.placers[name] = placer
        self.list_targets(name)
        self.schedule(self.now + TICK_S, self._tick, name)
        return placer

    def list_targets(self, name: str) -> None:
        """Gives a placer the list of targets."""
        records = [t.record for t in self.targets.values()]
        self.placers[name].list_targets(records, [], self.now)
        self._perform(name)

    def remove_placer(self, name: str) -> None:
        """Ends a placer without a word, as a kill does."""
        del self.placers[name]

    def schedule(
        self, when: float, function: Callable, *arguments: object
    ) -> None:
        """Calls a function at a time."""
        entry = (when, next(self._numbers), function, arguments)
        heapq.heappush(self._events, entry)

    def offer(
        self, name: str, arrival: Arrival, again: bool = False, **fields
    ) -> None:
        """Offers a job to a placer."""
        for index, seconds in enumerate(arrival.run_times_s):
            task = f"{arrival.job_id}.0.0.{index}"
            self.task_demands[task] = (arrival.spec.steps[0].need, seconds)
        offer = Offer(
            arrival.job_id,
            "entry",
            arrival.kind.policy,
            arrival.spec,
            max(self.now - arrival.arrival_time, 0.0),
            max(arrival.arrival_time + DEADLINE_S - self.now, 0.0),
            again,
            **fields,
        )
        self.placers[name].offer(offer, self.now)
        self._perform(name)

    def run(self, until: float) -> None:
        """Runs until a time."""
        while self._events and self._events[0][0] <= until:
            when, _, function, arguments = heapq.heappop(self._events)
            self.now = max(self.now, when)
            function(*arguments)
        self.now = max(self.now, until)
        for target in self.targets.values():
            target.advance(self.now)

    def find_overlapping_tasks(self) -> list[str]:
        """Tasks that ran twice at the same time."""
        return overlapping_tasks(self.targets.values())

    def results_by_kind(self, jobs: list[Arrival]) -> dict[str, Result]:
        """Adds up outcomes by kind; "all" holds the sum."""
        ended = {}
        for at, _, job_id, outcome in self.outcomes:
            ended.setdefault(job_id, (at, outcome))
        results: dict[str, Result] = collections.defaultdict(Result)
        for job in jobs:
            at, outcome = ended.get(job.job_id, (0.0, None))
            for result in (results[job.kind.policy.name], results["all"]):
                result.add_job(job, at - job.arrival_time, _ending(outcome))
        return results

    # Plumbing.

    def _tick(self, name: str) -> None:
        placer = self.placers.get(name)
        if placer is None:
            return
        placer.tick(self.now)
        self._perform(name)
        self.schedule(self.now + TICK_S, self._tick, name)

    def _perform(self, name: str) -> None:
        placer = self.placers.get(name)
        if placer is None:
            return
        placer.dispatch(self.now)
        for effect in placer.take_effects():
            match effect:
                case Settle(job_id, outcome):
                    self.outcomes.append((self.now, name, job_id, outcome))
                case Decision():
                    self.decisions.append(effect)
                case FenceLost(target_id):
                    self.fence_losses.append((name, target_id))
                case _:
                    self._send(name, effect)

    def _send(self, name: str, order: StartRun | StopRun | Poll) -> None:
        target = self.targets.get(order.target_id)
        timeout = ORDER_TIMEOUT_S
        if isinstance(order, Poll):
            timeout += order.wait_ms / 1000
        if target is None:
            self.schedule(
                self.now + ONE_WAY_S, self._answer, name, order, NotSent()
            )
            return
        if (name, order.target_id) in self.faults.partitioned_pairs:
            self.schedule(
                self.now + timeout, self._answer, name, order, NotSent()
            )
            return
        if self.rng.random() < self.faults.delayed_order_share:
            late = self.now + self.rng.uniform(2.0, 12.0)
            self.schedule(late, self._arrive, None, order)
            self.schedule(
                self.now + timeout, self._answer, name, order, NoAnswer()
            )
            return
        sender = name
        if self.rng.random() < self.faults.lost_answer_share:
            sender = None
            self.schedule(
                self.now + timeout, self._answer, name, order, NoAnswer()
            )
        self.schedule(self.now + ONE_WAY_S, self._arrive, sender, order)

    def _arrive(self, name: str | None, order) -> None:
        target = self.targets.get(order.target_id)
        if target is None:
            return
        match order:
            case StartRun(task=task):
                need, seconds = self.task_demands[task]
                answer = target.start(order, need, seconds, self.now)
                self._watch(target)
            case StopRun():
                answer = target.stop(order, self.now)
                self._wake_polls(target)
            case Poll(wait_ms=wait_ms):
                answer = target.poll(order, self.now)
                waits = getattr(answer, "ended", None) == () and wait_ms
                if waits and name is not None:
                    self._hold(target, name, order)
                    return
        if name is not None:
            self.schedule(
                self.now + ONE_WAY_S, self._answer, name, order, answer
            )

    def _hold(self, target: FakeTarget, name: str, order: Poll) -> None:
        entry = [name, order]
        self._waiting_polls[order.target_id].append(entry)
        end = self.now + order.wait_ms / 1000
        self.schedule(end, self._release_poll, target, entry)
        self._watch(target)

    def _release_poll(self, target: FakeTarget, entry: list) -> None:
        waiting = self._waiting_polls[target.record.target_id]
        if entry not in waiting:
            return
        waiting.remove(entry)
        name, order = entry
        answer = target.poll(order, self.now)
        self.schedule(self.now + ONE_WAY_S, self._answer, name, order, answer)

    def _watch(self, target: FakeTarget) -> None:
        end = target.next_completion()
        if end is not None:
            self.schedule(max(end, self.now) + 1e-6, self._wake_polls, target)

    def _wake_polls(self, target: FakeTarget) -> None:
        target.advance(self.now)
        if target.unacknowledged_ends:
            for entry in list(self._waiting_polls[target.record.target_id]):
                self._release_poll(target, entry)

    def _answer(self, name: str, order, answer) -> None:
        placer = self.placers.get(name)
        if placer is None:
            return
        match order:
            case StartRun():
                placer.observe_start(order, answer, self.now)
            case StopRun():
                placer.observe_stop(order, answer, self.now)
            case Poll():
                placer.observe_poll(order, answer, self.now)
        self._perform(name)


def _ending(outcome: Outcome | None) -> Ending:
    if outcome is None or outcome.kind is OutcomeKind.LOST:
        return Ending.LOST
    if outcome.kind is OutcomeKind.REFUSED:
        return Ending.REFUSED
    return Ending.ANSWERED
