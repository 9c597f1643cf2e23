"""Discrete-event simulation of placers and targets."""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable

import attrs

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Ending
from anvilford.order_model._load import Result
from anvilford.order_model._target import FakeTarget
from anvilford.order_model._target import overlapping_tasks
from anvilford.placement import Accepted
from anvilford.placement import CrashHistory
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

# Network delay of a request or a response.
ONE_WAY_DELAY_S = 0.0005
# Interval at which the simulation calls `Placer.tick`.
TICK_INTERVAL_S = 0.02
# Time after which a placer gives up waiting for the response to an order.
ORDER_TIMEOUT_S = 0.15
# The caller of a job stops waiting this long after the job's arrival.
JOB_DEADLINE_S = 2.3
# Time from the crash of a target to its restart, and from the restart to its row
# in the list.
CRASH_TIME_S = 3.0
REGISTRATION_TIME_S = 0.5


@attrs.define
class InjectedFaults:
    """Network faults to inject; tests change them during a simulation.

    Attributes:
        delayed_order_share: Fraction of the orders that arrive 2 to 12 seconds
            late and get no answer.
        lost_answer_share: Fraction of the other orders whose answer is lost.
        partitioned_pairs: Pairs of placer name and target id that cannot reach
            each other.
        silent_placers: Names of placers that the entry does not reach.
        placers_missing_entries: Names of placers that miss another entry of the
            site.
        deadly_jobs: Ids of jobs whose tasks crash each target that starts them.
        hopeless_jobs: Ids of jobs whose tasks fail on each target.
        crashes_are_silent: If True, a crash closes no connection; the calls to
            the target end with their timeout.
    """

    delayed_order_share: float = 0.0
    lost_answer_share: float = 0.0
    partitioned_pairs: set[tuple[str, str]] = attrs.field(factory=set)
    silent_placers: set[str] = attrs.field(factory=set)
    placers_missing_entries: set[str] = attrs.field(factory=set)
    deadly_jobs: set[str] = attrs.field(factory=set)
    hopeless_jobs: set[str] = attrs.field(factory=set)
    crashes_are_silent: bool = False


class PlacementSimulation:
    """Simulates placers that place jobs on targets over a faulty network.

    Attributes:
        targets: Targets by id.
        faults: Faults that are injected now.
        rng: Random number generator of the simulation.
        now: Virtual time, in seconds.
        one_way_delay_s: Network delay of a request or a response, in seconds.
        job_deadline_s: Time for which the callers of further jobs wait.
        placers: Running placers by name.
        outcomes: Outcomes so far, as (time, placer name, job id, outcome).
        decisions: Decisions that the placers reported for the log.
        fence_losses: Targets that refused a placer because of a higher fencing
            token, as (placer name, target id).
        task_demands: Resources, true run time at speed 1, in seconds, and name
            of the kind of job, by task name.
    """

    def __init__(
        self,
        targets: list[FakeTarget],
        seed: int = 0,
        one_way_delay_s: float = ONE_WAY_DELAY_S,
    ):
        self.targets = {t.record.target_id: t for t in targets}
        self.faults = InjectedFaults()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.one_way_delay_s = one_way_delay_s
        self.job_deadline_s = JOB_DEADLINE_S
        self.placers: dict[str, Placer] = {}
        self.outcomes: list[tuple[float, str, str, Outcome]] = []
        self.decisions: list[Decision] = []
        self.fence_losses: list[tuple[str, str]] = []
        self.task_demands: dict[str, tuple] = {}
        self._events: list = []
        self._event_numbers = itertools.count()
        self._held_polls: dict[str, list] = collections.defaultdict(list)

    def add_placer(
        self,
        name: str,
        fence: int,
        options: PlacementOptions | None = None,
        crashes: CrashHistory | None = None,
    ) -> Placer:
        """Starts a placer and passes it the list of all targets.

        Args:
            name: Name of the placer.
            fence: Fencing token that it sends to targets.
            options: Options of the placer; the defaults if None.
            crashes: What it knows of lost targets; nothing if None.
        """
        placer = Placer(
            fence,
            self.now,
            options or PlacementOptions(),
            random.Random(self.rng.random()),
            crashes,
        )
        self.placers[name] = placer
        self.list_targets(name)
        self.schedule(self.now + TICK_INTERVAL_S, self._tick, name)
        return placer

    def list_targets(self, name: str, is_current: bool = True) -> None:
        """Passes the current list of targets to a placer."""
        records = [t.record for t in self.targets.values()]
        self.placers[name].apply_target_list(records, [], self.now, is_current)
        self._execute_effects(name)

    def remove_placer(self, name: str) -> None:
        """Removes a placer as if its process was killed."""
        del self.placers[name]

    def schedule(
        self, when: float, function: Callable, *arguments: object
    ) -> None:
        """Schedules a function call at a virtual time in seconds."""
        entry = (when, next(self._event_numbers), function, arguments)
        heapq.heappush(self._events, entry)

    def offer(
        self,
        name: str,
        arrival: Arrival,
        again: bool = False,
        entry: str = "entry",
        **fields,
    ) -> None:
        """Offers a job to a placer now.

        Args:
            name: Name of the placer.
            arrival: The job.
            again: True if the job may have been offered to a placer before.
            entry: Name of the entry that offers the job.
            **fields: Further fields of the `Offer`.
        """
        for index, seconds in enumerate(arrival.run_times_s):
            task = f"{arrival.job_id}.0.0.{index}"
            self.task_demands[task] = (
                arrival.spec.steps[0].need,
                seconds,
                arrival.kind.policy.name,
            )
        offer = Offer(
            arrival.job_id,
            entry,
            arrival.kind.policy,
            arrival.spec,
            max(self.now - arrival.arrival_time, 0.0),
            max(arrival.arrival_time + self.job_deadline_s - self.now, 0.0),
            again,
            **fields,
        )
        self.placers[name].offer(offer, self.now)
        self._execute_effects(name)

    def run(self, until: float) -> None:
        """Processes all events up to a virtual time in seconds."""
        while self._events and self._events[0][0] <= until:
            when, _, function, arguments = heapq.heappop(self._events)
            self.now = max(self.now, when)
            function(*arguments)
        self.now = max(self.now, until)
        for target in self.targets.values():
            target.advance(self.now)

    def find_overlapping_tasks(self) -> list[str]:
        """Returns the tasks of which two runs were active at the same time."""
        return overlapping_tasks(self.targets.values())

    def results_by_kind(self, jobs: list[Arrival]) -> dict[str, Result]:
        """Counts the given jobs by outcome.

        Returns:
            Results by name of the kind; "all" holds the result of all kinds.
        """
        ended = {}
        for at, _, job_id, outcome in self.outcomes:
            ended.setdefault(job_id, (at, outcome))
        results: dict[str, Result] = collections.defaultdict(Result)
        for job in jobs:
            at, outcome = ended.get(job.job_id, (0.0, None))
            for result in (results[job.kind.policy.name], results["all"]):
                result.add_job(job, at - job.arrival_time, _to_ending(outcome))
        return results

    # Event handlers and message delivery.

    def _tick(self, name: str) -> None:
        """Calls a placer's tick and schedules the next one."""
        placer = self.placers.get(name)
        if placer is None:
            return
        if name not in self.faults.silent_placers:
            placer.record_contact("entry", self.now)
            misses_entries = name in self.faults.placers_missing_entries
            everyone = -math.inf if misses_entries else self.now
            placer.limit_leases(self.now, everyone)
        placer.tick(self.now)
        self._execute_effects(name)
        self.schedule(self.now + TICK_INTERVAL_S, self._tick, name)

    def _execute_effects(self, name: str) -> None:
        """Lets a placer dispatch tasks and carries out its effects."""
        placer = self.placers.get(name)
        if placer is None:
            return
        placer.dispatch(self.now)
        for effect in placer.pop_effects():
            match effect:
                case Settle(job_id, outcome):
                    self.outcomes.append((self.now, name, job_id, outcome))
                case Decision():
                    self.decisions.append(effect)
                case FenceLost(target_id):
                    self.fence_losses.append((name, target_id))
                case _:
                    self._send_order(name, effect)

    def _send_order(self, name: str, order: StartRun | StopRun | Poll) -> None:
        """Schedules the delivery of an order, subject to the faults."""
        target = self.targets.get(order.target_id)
        timeout = ORDER_TIMEOUT_S
        if isinstance(order, Poll):
            timeout += order.wait_ms / 1000
        if target is None or target.is_down:
            self.schedule(
                self.now + self.one_way_delay_s,
                self._deliver_answer,
                name,
                order,
                NotSent(),
            )
            return
        if (name, order.target_id) in self.faults.partitioned_pairs:
            self.schedule(
                self.now + timeout, self._deliver_answer, name, order, NotSent()
            )
            return
        if self.rng.random() < self.faults.delayed_order_share:
            late = self.now + self.rng.uniform(2.0, 12.0)
            self.schedule(late, self._deliver_order, None, order)
            self.schedule(
                self.now + timeout,
                self._deliver_answer,
                name,
                order,
                NoAnswer(),
            )
            return
        sender = name
        if self.rng.random() < self.faults.lost_answer_share:
            sender = None
            self.schedule(
                self.now + timeout,
                self._deliver_answer,
                name,
                order,
                NoAnswer(),
            )
        self.schedule(
            self.now + self.one_way_delay_s, self._deliver_order, sender, order
        )

    def _deliver_order(self, name: str | None, order) -> None:
        """Passes an order to its target; without a name no answer is sent."""
        target = self.targets.get(order.target_id)
        if target is None:
            return
        if target.is_down:
            self._break_connections(target, [[name, order]])
            return
        match order:
            case StartRun(task=task):
                need, seconds, kind = self.task_demands[task]
                job_id = task.partition(".")[0]
                fails = job_id in self.faults.hopeless_jobs
                answer = target.start(
                    order, need, seconds, self.now, fails, kind
                )
                is_deadly = job_id in self.faults.deadly_jobs
                if is_deadly and isinstance(answer, Accepted):
                    self._crash(target, [[name, order]])
                    return
                self._schedule_next_completion(target)
            case StopRun():
                answer = target.stop(order, self.now)
                self._schedule_next_completion(target)
            case Poll(wait_ms=wait_ms):
                answer = target.poll(order, self.now)
                waits = getattr(answer, "ended", None) == () and wait_ms
                if waits and name is not None:
                    self._hold_poll(target, name, order)
                    return
        if name is not None:
            self.schedule(
                self.now + self.one_way_delay_s,
                self._deliver_answer,
                name,
                order,
                answer,
            )

    def _crash(self, target: FakeTarget, calls: list) -> None:
        """Crashes a target, which later restarts and then is listed again.

        Args:
            target: The target.
            calls: Placer names and orders that it has not answered, beside the
                held polls.
        """
        target.crash(self.now)
        held = self._held_polls.pop(target.record.target_id, [])
        self._break_connections(target, [*calls, *held])
        self.schedule(self.now + CRASH_TIME_S, self._restart, target)

    def _restart(self, target: FakeTarget) -> None:
        target.restart(target.record.incarnation + 1000, self.now)
        for name in self.placers:
            listed_at = self.now + REGISTRATION_TIME_S
            self.schedule(listed_at, self._list_targets_again, name)

    def _list_targets_again(self, name: str) -> None:
        if name in self.placers:
            self.list_targets(name)

    def _break_connections(self, target: FakeTarget, calls: list) -> None:
        """Ends the calls to a target without an answer."""
        is_silent = self.faults.crashes_are_silent
        delay = ORDER_TIMEOUT_S if is_silent else self.one_way_delay_s
        for name, order in calls:
            if name is not None:
                self.schedule(
                    self.now + delay,
                    self._deliver_answer,
                    name,
                    order,
                    NoAnswer(connection_closed=not is_silent),
                )

    def _hold_poll(self, target: FakeTarget, name: str, order: Poll) -> None:
        """Delays the answer to a poll until a run ends or its wait is over."""
        entry = [name, order]
        self._held_polls[order.target_id].append(entry)
        end = self.now + order.wait_ms / 1000
        self.schedule(end, self._answer_held_poll, target, entry)
        self._schedule_next_completion(target)

    def _answer_held_poll(self, target: FakeTarget, entry: list) -> None:
        """Answers a held poll unless it has been answered already."""
        waiting = self._held_polls[target.record.target_id]
        if entry not in waiting:
            return
        waiting.remove(entry)
        name, order = entry
        answer = target.poll(order, self.now)
        self.schedule(
            self.now + self.one_way_delay_s,
            self._deliver_answer,
            name,
            order,
            answer,
        )

    def _schedule_next_completion(self, target: FakeTarget) -> None:
        """Schedules the answers to held polls for the next end of a run."""
        end = target.next_completion()
        if end is not None:
            self.schedule(
                max(end, self.now) + 1e-6, self._answer_polls_with_ends, target
            )

    def _answer_polls_with_ends(self, target: FakeTarget) -> None:
        """Answers a target's held polls if a run has ended."""
        target.advance(self.now)
        if target.unacknowledged_ends:
            for entry in list(self._held_polls[target.record.target_id]):
                self._answer_held_poll(target, entry)

    def _deliver_answer(self, name: str, order, answer) -> None:
        """Passes the answer to an order to the placer that sent it."""
        placer = self.placers.get(name)
        if placer is None:
            return
        match order:
            case StartRun():
                placer.handle_start_answer(order, answer, self.now)
            case StopRun():
                placer.handle_stop_answer(order, answer, self.now)
            case Poll():
                placer.handle_poll_answer(order, answer, self.now)
        self._execute_effects(name)


def _to_ending(outcome: Outcome | None) -> Ending:
    """Returns how a job ended for its caller; None means no outcome yet."""
    if outcome is None or outcome.kind is OutcomeKind.LOST:
        return Ending.LOST
    if outcome.kind is OutcomeKind.REFUSED:
        return Ending.REFUSED
    return Ending.ANSWERED
