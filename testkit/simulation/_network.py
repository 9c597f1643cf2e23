"""Event queue that connects entries, targets and the platform.

The entries are real `EntryCore` objects; targets, platform and network are
simulated on a virtual clock. Messages are delayed, reordered, duplicated and
lost at random from a fixed seed.
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

# Interval at which entries read the platform's list, configuration and marks.
POLL_INTERVAL_S = 1.0
# Prefix of the ids of requests between entries; callers' ids have another one.
PEER_REQUEST_PREFIX = "peer-"
SERVICE = "line-brain"


@attrs.frozen
class NetworkOptions:
    """Size of the site and message faults of a run.

    Attributes:
        zones: Number of availability zones.
        entries_per_zone: Number of entries in each zone.
        targets_per_zone: Number of targets in each zone.
        mean_latency: Base of the one-way delay in seconds; `draw_latency`
            multiplies it by 0.5 to 3.
        loss_probability: Probability that a one-way peer message is lost.
        duplication_probability: Probability that a message or an answer
            arrives twice.
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
    """Simulated process of an entry.

    Attributes:
        core: Logic of the entry without input and output.
        is_dead: True once the process was killed or has stopped.
        suspended_until: Virtual time until which the process is suspended.
        next_tick: Virtual time of the scheduled tick, infinite if none is
            scheduled.
    """

    core: EntryCore
    is_dead: bool = False
    suspended_until: float = 0.0
    next_tick: float = float("inf")


class Network:
    """Runs entries, targets and the platform on one event queue.

    Attributes:
        options: Size of the site and message faults.
        rng: Random source of delays, losses and duplicates, and of the seeds
            of the entries.
        now: Virtual time in seconds.
        history: Receives the events of the run.
        entries: Latest process at each entry address, which may be dead.
        targets: Targets by address.
        platform: The simulated platform.
        partitioned_zones: Zones that are partitioned from the other zones and
            from the platform at present.
        on_answer: Called with (request id, answer) when an entry answers a
            caller's request.
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
        self._start_site()

    def _start_site(self) -> None:
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
        """Starts a new process at an entry address, with a new incarnation."""
        token = f"{self.rng.getrandbits(64):016x}"
        core = EntryCore(
            Incarnation(zone, address, token),
            self.rng.randbytes(32),
            self.options.core,
            random.Random(self.rng.getrandbits(64)),
            self.now,
        )
        entry = EntryProcess(core)
        peers = [n for n in self.entries.values() if not n.is_dead]
        self.entries[address] = entry
        self.history.record(
            EntryStarted(self.now, self.process_label(entry), len(peers))
        )
        self.deliver(entry, Tick())
        self._poll_platform(entry)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds of virtual time."""
        item = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._queue, item)

    def run_until(self, until: float) -> None:
        """Runs the scheduled actions up to the virtual time `until`."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def deliver(self, entry: EntryProcess, event: Event) -> None:
        """Passes an event to a process; if it is suspended, when it resumes.

        Events for dead processes are dropped.
        """
        if entry.is_dead:
            return
        if entry.suspended_until > self.now:
            self.schedule(
                entry.suspended_until - self.now,
                lambda: self.deliver(entry, event),
            )
            return
        for effect in entry.core.handle(event, self.now):
            self._apply_effect(entry, effect)
        self._schedule_tick(entry)

    def suspend(self, address: str, duration: float) -> None:
        """Suspends the process at an entry address for so many seconds."""
        entry = self.entries[address]
        entry.suspended_until = max(entry.suspended_until, self.now + duration)
        label = self.process_label(entry)
        self.history.record(
            EntrySuspended(self.now, label, entry.suspended_until)
        )

    def kill(self, address: str) -> None:
        """Kills the process at an entry address."""
        entry = self.entries[address]
        if not entry.is_dead:
            entry.is_dead = True
            self.history.record(
                EntryKilled(self.now, self.process_label(entry))
            )

    def process_label(self, entry: EntryProcess) -> str:
        """Returns the label of a process in the history: address/token."""
        return f"{entry.core.me.address}/{entry.core.me.token[:6]}"

    def draw_latency(self) -> float:
        """Draws a one-way delay; it varies so that messages are reordered."""
        return self.options.mean_latency * self.rng.uniform(0.5, 3.0)

    def is_partitioned(self, first: str, second: str) -> bool:
        """Returns whether a partition separates two zones."""
        return first != second and bool(
            {first, second} & self.partitioned_zones
        )

    def _schedule_tick(self, entry: EntryProcess) -> None:
        wakeup = entry.core.next_wakeup(self.now)
        if wakeup >= entry.next_tick > self.now:
            return
        entry.next_tick = wakeup

        def tick() -> None:
            if entry.next_tick == wakeup:
                entry.next_tick = float("inf")
                self.deliver(entry, Tick())

        # A tick is never scheduled for the present time, so the clock advances
        # between ticks as it does in a real process.
        self.schedule(max(wakeup - self.now, 1e-6), tick)

    def _poll_platform(self, entry: EntryProcess) -> None:
        """Reads list, configuration and marks now and every poll interval."""
        if entry.is_dead:
            return
        if self._reaches_platform(entry):
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
                    lambda event=event: self.deliver(entry, event),
                )
        self.schedule(POLL_INTERVAL_S, lambda: self._poll_platform(entry))

    def _reaches_platform(self, entry: EntryProcess) -> bool:
        is_cut = entry.core.me.zone in self.partitioned_zones
        return not is_cut and not self.platform.is_down

    def _apply_effect(self, entry: EntryProcess, effect) -> None:
        match effect:
            case RunAttempt():
                self._run_attempt(entry, effect)
            case StopAttempt(cancel):
                target = self.targets[cancel.address]
                self.schedule(
                    self.draw_latency(),
                    lambda: self._cancel_attempt(
                        entry, target, cancel.attempt_id
                    ),
                )
            case Respond(request_id, answer):
                self._respond(request_id, answer)
            case ReplyToPeer(request_id, message):
                self._reply(request_id, message)
            case CallPeer():
                self._call_peer(entry, effect)
            case SendToPeer(address, message):
                self._send_peer(entry, address, message)
            case LogChange("configuration_in_force", fields):
                me = entry.core.me
                self.history.record(
                    ConfigurationObserved(
                        self.now, me.address, me.token, dict(fields)["version"]
                    )
                )
            case Stopped():
                entry.is_dead = True
                label = self.process_label(entry)
                self.history.record(EntryStopped(self.now, label))
            case WriteMarks() | ReadMarks():
                self._access_marks(entry, effect)
            case IncrementCounter() | LogChange():
                pass

    def _access_marks(
        self, entry: EntryProcess, effect: WriteMarks | ReadMarks
    ) -> None:
        if not self._reaches_platform(entry):
            return
        if isinstance(effect, WriteMarks):
            self.platform.write_marks(effect.expected_version, effect.marks)
        else:
            event = MarksReceived(*self.platform.marks_row)
            self.schedule(
                self.draw_latency(), lambda: self.deliver(entry, event)
            )

    def _run_attempt(self, entry: EntryProcess, effect: RunAttempt) -> None:
        start = effect.start
        label = self.process_label(entry)
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
            self._finish_attempt(entry, target, start.attempt_id, outcome)

        self.schedule(self.draw_latency(), arrive)

    def _cancel_attempt(
        self, entry: EntryProcess, target: SimulatedTarget, attempt_id: str
    ) -> None:
        if target.is_dead or target.is_hanging:
            return
        if attempt_id not in target.running:
            return
        target.cancelled.add(attempt_id)
        self._finish_attempt(
            entry, target, attempt_id, AttemptFailed("cancelled")
        )

    def _finish_attempt(
        self,
        entry: EntryProcess,
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
                self.draw_latency(), lambda: self.deliver(entry, event)
            )

    def _respond(self, request_id: str, answer: EncodedAnswer) -> None:
        if request_id.startswith(PEER_REQUEST_PREFIX):
            self._reply(request_id, ForwardReply(answer))
        else:
            self.on_answer(request_id, answer)

    def _reply(self, request_id: str, message: Message) -> None:
        reply = self._replies.get(request_id)
        if reply is not None:
            reply(message)

    def _send_peer(
        self, entry: EntryProcess, address: str, message: Message
    ) -> None:
        if self.rng.random() < self.options.loss_probability:
            return
        copies = 1 + (self.rng.random() < self.options.duplication_probability)
        for _ in range(copies):
            self.schedule(
                self.draw_latency(),
                lambda: self._deliver_peer_message(entry, address, message, ""),
            )

    def _deliver_peer_message(
        self,
        sender: EntryProcess,
        address: str,
        message: Message,
        request_id: str,
    ) -> bool:
        """Delivers a peer message; a partition drops it silently.

        Returns:
            False if no live process listens at the address.
        """
        receiver = self.entries.get(address)
        if receiver is None or receiver.is_dead:
            return False
        if self.is_partitioned(sender.core.me.zone, receiver.core.me.zone):
            return True
        if isinstance(message, ForwardSubmission):
            event = _forwarded_request(message, request_id)
        else:
            event = PeerMessage(sender.core.me, message, request_id)
        self.deliver(receiver, event)
        return True

    def _call_peer(self, entry: EntryProcess, effect: CallPeer) -> None:
        request_id = f"{PEER_REQUEST_PREFIX}{next(self._numbers)}"

        def fail() -> None:
            if self._replies.pop(request_id, None):
                self.deliver(entry, PeerFailed(effect.call))

        def receive(message: Message) -> None:
            replier = self.entries[effect.address].core.me
            if self.is_partitioned(entry.core.me.zone, replier.zone):
                return
            self._replies.pop(request_id, None)
            event = PeerReplied(effect.call, message)
            copies = 1 + (
                self.rng.random() < self.options.duplication_probability
            )
            for _ in range(copies):
                self.schedule(
                    self.draw_latency(), lambda: self.deliver(entry, event)
                )

        def arrive() -> None:
            if not self._deliver_peer_message(
                entry, effect.address, effect.message, request_id
            ):
                self.schedule(self.draw_latency(), fail)

        self._replies[request_id] = receive
        self.schedule(self.draw_latency(), arrive)
        self.schedule(effect.timeout, fail)


def _forwarded_request(
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
