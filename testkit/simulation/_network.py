"""Entries, targets and the platform on a virtual clock.

The entries are real `EntryCore` objects. Messages are delayed, reordered,
duplicated and lost at random from a fixed seed.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from anvilford.entry import AttemptFinished
from anvilford.entry import CallPeer
from anvilford.entry import ConfigurationReceived
from anvilford.entry import CoreOptions
from anvilford.entry import EntryCore
from anvilford.entry import Event
from anvilford.entry import IncrementCounter
from anvilford.entry import LogChange
from anvilford.entry import MarksReceived
from anvilford.entry import PeerFailed
from anvilford.entry import PeerMessage
from anvilford.entry import PeerReplied
from anvilford.entry import ReadMarks
from anvilford.entry import ReplyToPeer
from anvilford.entry import Respond
from anvilford.entry import RunAttempt
from anvilford.entry import SendToPeer
from anvilford.entry import StopAttempt
from anvilford.entry import Stopped
from anvilford.entry import SubmissionRequested
from anvilford.entry import Tick
from anvilford.entry import VmListReceived
from anvilford.entry import WriteMarks
from anvilford.model import AttemptFailed
from anvilford.model import EncodedAnswer
from anvilford.model import Incarnation
from anvilford.model import parse_job
from anvilford.model import parse_submission_id
from anvilford.protocol import ForwardReply
from anvilford.protocol import ForwardSubmission
from anvilford.protocol import Message
from anvilford.protocol import RequestKind
from testkit.simulation._history import AttemptSent
from testkit.simulation._history import ConfigurationObserved
from testkit.simulation._history import EntryKilled
from testkit.simulation._history import EntryStarted
from testkit.simulation._history import EntryStopped
from testkit.simulation._history import EntrySuspended
from testkit.simulation._history import History
from testkit.simulation._platform import SimulatedPlatform
from testkit.simulation._targets import SimulatedTarget

POLL_INTERVAL_S = 1.0
PEER_REQUEST = "peer-"
SERVICE = "line-brain"


@attrs.frozen
class NetworkOptions:
    """Sizes and message faults of a run.

    Attributes:
        zones: Number of availability zones.
        entries_per_zone: Entry daemons in each zone.
        targets_per_zone: Targets in each zone.
        latency: Mean one-way delay in seconds.
        loss: Probability that a one-way peer message is lost.
        duplication: Probability that a message or answer arrives twice.
        core: Options of every entry.
    """

    zones: int = 2
    entries_per_zone: int = 2
    targets_per_zone: int = 2
    mean_latency: float = 0.001
    loss_probability: float = 0.02
    duplication_probability: float = 0.05
    core: CoreOptions = CoreOptions(drain_notice=0.3)


@attrs.define(eq=False)
class EntryProcess:
    """One entry daemon process.

    Attributes:
        core: Its decisions.
        is_dead: True once it was killed or stopped.
        frozen_until: Virtual time until which it is suspended.
        next_tick: Virtual time of the scheduled tick.
    """

    core: EntryCore
    is_dead: bool = False
    suspended_until: float = 0.0
    next_tick: float = float("inf")


class Network:
    """Runs entries, targets and the platform on one event queue.

    Attributes:
        options: Sizes and message faults.
        rng: Source of all randomness.
        now: Virtual time in seconds.
        history: What was observed.
        nodes: Present process at each entry address.
        targets: Targets by address.
        platform: The platform.
        cut_zones: Zones that are cut off now.
        on_answer: Receives (request id, answer) for callers' requests.
    """

    def __init__(self, options: NetworkOptions, seed: int):
        self.options = options
        self.rng = random.Random(seed)
        self.now = 0.0
        self.history = History()
        self.entries: dict[str, EntryProcess] = {}
        self.targets: dict[str, SimulatedTarget] = {}
        self.platform = SimulatedPlatform(self.history)
        self.partitioned_zones: set[str] = set()
        self.on_answer: Callable[[str, EncodedAnswer], None] = lambda *_: None
        self._queue: list = []
        self._numbers = itertools.count()
        self._replies: dict[str, Callable] = {}
        self._build()

    def _build(self) -> None:
        for zone in range(self.options.zones):
            name = f"zone-{zone}"
            for index in range(self.options.entries_per_zone):
                address = f"10.0.{zone}.{index}:7100"
                self.platform.add_entry(address, name)
            for index in range(self.options.targets_per_zone):
                address = f"10.1.{zone}.{index}:7300"
                vm_id = f"target-{zone}-{index}"
                self.targets[address] = SimulatedTarget(
                    vm_id, address, name, 8, self.history
                )
                self.platform.add_target(vm_id, address, name, SERVICE)
        for vm in self.platform.entries():
            self.start_entry(vm.address, vm.zone)

    def start_entry(self, address: str, zone: str) -> None:
        """Starts a new process at an entry address."""
        token = f"{self.rng.getrandbits(64):016x}"
        core = EntryCore(
            Incarnation(zone, address, token),
            self.rng.randbytes(32),
            self.options.core,
            random.Random(self.rng.getrandbits(64)),
            self.now,
        )
        node = EntryProcess(core)
        peers = [n for n in self.entries.values() if not n.is_dead]
        self.entries[address] = node
        self.history.record(
            EntryStarted(self.now, self.process_label(node), len(peers))
        )
        self.deliver(node, Tick())
        self._poll(node)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action on the virtual clock."""
        entry = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def run_until(self, until: float) -> None:
        """Advances the virtual clock."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def deliver(self, node: EntryProcess, event: Event) -> None:
        """Hands an event to a process, later if it is suspended."""
        if node.is_dead:
            return
        if node.suspended_until > self.now:
            self.schedule(
                node.suspended_until - self.now,
                lambda: self.deliver(node, event),
            )
            return
        for effect in node.core.handle(event, self.now):
            self._perform(node, effect)
        self._schedule_tick(node)

    def suspend(self, address: str, duration: float) -> None:
        """Suspends a process."""
        node = self.entries[address]
        node.suspended_until = max(node.suspended_until, self.now + duration)
        label = self.process_label(node)
        self.history.record(
            EntrySuspended(self.now, label, node.suspended_until)
        )

    def kill(self, address: str) -> None:
        """Ends a process at once."""
        node = self.entries[address]
        if not node.is_dead:
            node.is_dead = True
            self.history.record(EntryKilled(self.now, self.process_label(node)))

    def process_label(self, node: EntryProcess) -> str:
        """Name of a process in the history."""
        return f"{node.core.me.address}/{node.core.me.token[:6]}"

    def draw_latency(self) -> float:
        """A random delay, so that messages overtake each other."""
        return self.options.mean_latency * self.rng.uniform(0.5, 3.0)

    def is_partitioned(self, first: str, second: str) -> bool:
        """Tells whether two zones cannot reach each other."""
        return first != second and bool(
            {first, second} & self.partitioned_zones
        )

    def _schedule_tick(self, node: EntryProcess) -> None:
        wakeup = node.core.next_wakeup(self.now)
        if wakeup >= node.next_tick > self.now:
            return
        node.next_tick = wakeup

        def tick() -> None:
            if node.next_tick == wakeup:
                node.next_tick = float("inf")
                self.deliver(node, Tick())

        # The clock moves on between ticks, as it does in a real process.
        self.schedule(max(wakeup - self.now, 1e-6), tick)

    def _poll(self, node: EntryProcess) -> None:
        """Reads the platform's list and configuration, again and again."""
        if node.is_dead:
            return
        if self._reaches_platform(node):
            revision, vms = self.platform.list_vms(self.now)
            version, row = self.platform.configuration_row
            events = (
                VmListReceived(revision, vms),
                ConfigurationReceived(version, row),
                MarksReceived(*self.platform.marks_row),
            )
            for event in events:
                self.schedule(
                    self.draw_latency(),
                    lambda event=event: self.deliver(node, event),
                )
        self.schedule(POLL_INTERVAL_S, lambda: self._poll(node))

    def _reaches_platform(self, node: EntryProcess) -> bool:
        is_cut = node.core.me.zone in self.partitioned_zones
        return not is_cut and not self.platform.is_down

    def _perform(self, node: EntryProcess, effect) -> None:
        match effect:
            case RunAttempt():
                self._run_attempt(node, effect)
            case StopAttempt(cancel):
                target = self.targets[cancel.address]
                self.schedule(
                    self.draw_latency(),
                    lambda: self._cancel_attempt(
                        node, target, cancel.attempt_id
                    ),
                )
            case Respond(request_id, answer):
                self._respond(request_id, answer)
            case ReplyToPeer(request_id, message):
                self._reply(request_id, message)
            case CallPeer():
                self._call_peer(node, effect)
            case SendToPeer(address, message):
                self._send_peer(node, address, message)
            case LogChange("configuration_in_force", fields):
                me = node.core.me
                self.history.record(
                    ConfigurationObserved(
                        self.now, me.address, me.token, dict(fields)["version"]
                    )
                )
            case Stopped():
                node.is_dead = True
                label = self.process_label(node)
                self.history.record(EntryStopped(self.now, label))
            case WriteMarks() | ReadMarks():
                self._use_marks(node, effect)
            case IncrementCounter() | LogChange():
                pass

    def _use_marks(
        self, node: EntryProcess, effect: WriteMarks | ReadMarks
    ) -> None:
        if not self._reaches_platform(node):
            return
        if isinstance(effect, WriteMarks):
            self.platform.write_marks(effect.expected_version, effect.marks)
        else:
            event = MarksReceived(*self.platform.marks_row)
            self.schedule(
                self.draw_latency(), lambda: self.deliver(node, event)
            )

    def _run_attempt(self, node: EntryProcess, effect: RunAttempt) -> None:
        start = effect.start
        label = self.process_label(node)
        target = self.targets[start.address]
        uid = start.task.payload["uid"]
        self.history.record(
            AttemptSent(self.now, label, target.vm_id, start.attempt_id, uid)
        )
        lease = start.deadline - self.now + 0.1

        def arrive() -> None:
            delay, outcome = target.start(
                start.attempt_id, start.task, lease, self.now
            )
            self.schedule(delay, lambda: finish(outcome))

        def finish(outcome) -> None:
            if not target.is_dead and start.attempt_id in target.cancelled:
                return
            self._finish_attempt(node, target, start.attempt_id, outcome)

        self.schedule(self.draw_latency(), arrive)

    def _cancel_attempt(
        self, node: EntryProcess, target: SimulatedTarget, attempt_id: str
    ) -> None:
        if target.is_dead or target.is_hanging:
            return
        if attempt_id not in target.running:
            return
        target.cancelled.add(attempt_id)
        self._finish_attempt(
            node, target, attempt_id, AttemptFailed("cancelled")
        )

    def _finish_attempt(
        self,
        node: EntryProcess,
        target: SimulatedTarget,
        attempt_id: str,
        outcome,
    ) -> None:
        event = AttemptFinished(
            attempt_id, target.vm_id, target.finish(attempt_id, outcome)
        )
        copies = 1 + (self.rng.random() < self.options.duplication_probability)
        for _ in range(copies):
            self.schedule(
                self.draw_latency(), lambda: self.deliver(node, event)
            )

    def _respond(self, request_id: str, answer: EncodedAnswer) -> None:
        if request_id.startswith(PEER_REQUEST):
            self._reply(request_id, ForwardReply(answer))
        else:
            self.on_answer(request_id, answer)

    def _reply(self, request_id: str, message: Message) -> None:
        reply = self._replies.get(request_id)
        if reply is not None:
            reply(message)

    def _send_peer(
        self, node: EntryProcess, address: str, message: Message
    ) -> None:
        if self.rng.random() < self.options.loss_probability:
            return
        copies = 1 + (self.rng.random() < self.options.duplication_probability)
        for _ in range(copies):
            self.schedule(
                self.draw_latency(),
                lambda: self._arrive(node, address, message, ""),
            )

    def _arrive(
        self,
        sender: EntryProcess,
        address: str,
        message: Message,
        request_id: str,
    ) -> bool:
        """Delivers a peer message; False if the address does not answer."""
        receiver = self.entries.get(address)
        if receiver is None or receiver.is_dead:
            return False
        if self.is_partitioned(sender.core.me.zone, receiver.core.me.zone):
            return True
        if isinstance(message, ForwardSubmission):
            event = _forwarded(message, request_id)
        else:
            event = PeerMessage(sender.core.me, message, request_id)
        self.deliver(receiver, event)
        return True

    def _call_peer(self, node: EntryProcess, effect: CallPeer) -> None:
        request_id = f"{PEER_REQUEST}{next(self._numbers)}"

        def fail() -> None:
            if self._replies.pop(request_id, None):
                self.deliver(node, PeerFailed(effect.call))

        def receive(message: Message) -> None:
            replier = self.entries[effect.address].core.me
            if self.is_partitioned(node.core.me.zone, replier.zone):
                return
            self._replies.pop(request_id, None)
            event = PeerReplied(effect.call, message)
            copies = 1 + (
                self.rng.random() < self.options.duplication_probability
            )
            for _ in range(copies):
                self.schedule(
                    self.draw_latency(), lambda: self.deliver(node, event)
                )

        def arrive() -> None:
            if not self._arrive(
                node, effect.address, effect.message, request_id
            ):
                self.schedule(self.draw_latency(), fail)

        self._replies[request_id] = receive
        self.schedule(self.draw_latency(), arrive)
        self.schedule(effect.timeout, fail)


def _forwarded(
    message: ForwardSubmission, request_id: str
) -> SubmissionRequested:
    job = None
    if message.kind is RequestKind.SUBMIT:
        job = parse_job(message.job).ok
    return SubmissionRequested(
        request_id,
        message.caller,
        parse_submission_id(message.submission_id).ok,
        message.kind,
        job,
        message.job,
        message.deadline_ms,
        message.hops,
    )
