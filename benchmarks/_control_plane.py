"""Entries on a virtual clock whose messages pass through the real codec."""

import collections
import heapq
import itertools
import json
import random
import time

import attrs

from anvilford import protocol
from anvilford.configuration import next_row
from anvilford.configuration import parse_document
from anvilford.configuration import parse_row
from anvilford.entry import CallPeer
from anvilford.entry import ConfigurationReceived
from anvilford.entry import CoreOptions
from anvilford.entry import EntryCore
from anvilford.entry import Event
from anvilford.entry import LogChange
from anvilford.entry import PeerMessage
from anvilford.entry import PeerReplied
from anvilford.entry import ReplyToPeer
from anvilford.entry import SendToPeer
from anvilford.entry import Tick
from anvilford.entry import VmListReceived
from anvilford.model import Incarnation
from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from anvilford.shares import ConnectionSplit

POLL_S = 1.0
LATENCY_S = 0.001
FRAME_LENGTH_BYTES = 4
# Real splits stop at 64 entries a zone; this keeps larger sites ready.
SPLIT = ConnectionSplit(48, 4096, 48, 4096)


@attrs.frozen
class Shape:
    """Size of a site.

    Attributes:
        entries: Entry daemons, spread over the zones.
        targets: Targets, spread over the zones and services.
        zones: Availability zones.
        services: Services, each with a policy in the configuration.
        pollers: Entries that reach the platform; None for all.
    """

    entries: int = 9
    targets: int = 24
    zones: int = 4
    services: int = 1
    pollers: int | None = None


def zone_name(number: int, shape: Shape) -> str:
    """Zone of the entry or target with this number."""
    return f"zone-{number % shape.zones:02d}"


def entry_identity(number: int, shape: Shape) -> Incarnation:
    """Process with an address and token of realistic length."""
    address = f"10.0.{number // 250}.{number % 250}:7102"
    return Incarnation(zone_name(number, shape), address, f"{number:016x}")


def listed_vms(shape: Shape) -> tuple[VmInfo, ...]:
    """The platform's list."""
    entries = (entry_identity(n, shape) for n in range(shape.entries))
    listed = [
        VmInfo(f"vm-{n:08x}", VmRole.ENTRY, e.zone, e.address, "", VmState.LIVE)
        for n, e in enumerate(entries)
    ]
    # Targets are numbered within their zone, so that each zone has each
    # service.
    listed += [
        VmInfo(
            f"vm-{shape.entries + n:08x}",
            VmRole.TARGET,
            zone_name(n, shape),
            f"10.1.{n // 250}.{n % 250}:7300",
            f"service-{n // shape.zones % shape.services:03d}",
            VmState.LIVE,
        )
        for n in range(shape.targets)
    ]
    return tuple(listed)


def list_bytes(vms: tuple[VmInfo, ...]) -> int:
    """Size of the platform's answer to a read of the list."""
    documents = [
        attrs.asdict(vm)
        | {"role": vm.role.name.lower(), "state": vm.state.name.lower()}
        for vm in vms
    ]
    return len(json.dumps({"revision": 1, "vms": documents}))


class ControlPlane:
    """Entries and the platform, without tasks.

    Attributes:
        shape: Size of the site.
        cores: The entries.
        now: Virtual time in seconds.
        totals: Messages, bytes and seconds of processor time since the last
            `reset`, by kind.
        in_force: Virtual time at which each entry applied the newest version.
    """

    def __init__(self, shape: Shape, seed: int = 1):
        self.shape = shape
        self.now = 0.0
        self.totals: collections.Counter = collections.Counter()
        self.in_force: dict[int, float] = {}
        self.vms = listed_vms(shape)
        self.revision = 1
        self.row: tuple[int, dict] = (0, {})
        self._rng = random.Random(seed)
        self._queue: list = []
        self._numbers = itertools.count()
        self._calls: dict[str, tuple[int, CallPeer]] = {}
        self.change_configuration()
        self.cores = [self._make_core(n) for n in range(shape.entries)]
        self._indices = {c.me.address: n for n, c in enumerate(self.cores)}
        self._next_tick = [0.0] * shape.entries
        for index in range(shape.entries):
            self._schedule(0.0, index, Tick())
            if shape.pollers is None or index < shape.pollers:
                self._schedule(self._rng.uniform(0, POLL_S), index, None)

    def _make_core(self, number: int) -> EntryCore:
        # Entries without the platform know each other as seeds.
        seeds = tuple(v.address for v in self.vms[: self.shape.entries])
        options = CoreOptions(connections=SPLIT, seeds=seeds)
        rng = random.Random(self._rng.random())
        me = entry_identity(number, self.shape)
        return EntryCore(me, bytes(32), options, rng, 0.0)

    def change_configuration(self) -> None:
        """Writes the next version of the row."""
        version, value = self.row
        current = parse_row(version, value).ok if version else None
        services = {
            f"service-{n:03d}": {
                "weight": 1.0 + n % 50,
                "max_queued_tasks": 1_000_000,
            }
            for n in range(self.shape.services)
        }
        preset = "peak" if version % 2 else "ordinary"
        document = parse_document({"preset": preset, "services": services})
        row = next_row(current, document.ok, f"operation-{version}", "me")
        self.row = (version + 1, row)
        self.in_force.clear()

    def remove_target(self) -> None:
        """Lists the last target as leaving."""
        last = attrs.evolve(self.vms[-1], state=VmState.LEAVING)
        self.vms = (*self.vms[:-1], last)
        self.revision += 1

    def reset(self) -> None:
        """Starts to count anew."""
        self.totals.clear()

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        until = self.now + seconds
        while self._queue[0][0] <= until:
            self.now, _, index, event = heapq.heappop(self._queue)
            if event is None:
                self._poll(index)
            else:
                self._handle(index, event)
        self.now = until

    def _schedule(self, delay: float, index: int, event) -> None:
        entry = (self.now + delay, next(self._numbers), index, event)
        heapq.heappush(self._queue, entry)

    def _poll(self, index: int) -> None:
        self.totals["platform_requests"] += 2
        self.totals["list_reads"] += 1
        self._handle(index, VmListReceived(self.revision, self.vms))
        self._handle(index, ConfigurationReceived(*self.row))
        self._schedule(POLL_S, index, None)

    def _handle(self, index: int, event: Event) -> None:
        core = self.cores[index]
        if isinstance(event, Tick) and self._next_tick[index] > self.now:
            return
        started = time.thread_time()
        effects = core.handle(event, self.now)
        wakeup = core.next_wakeup(self.now)
        self.totals["core_s"] += time.thread_time() - started
        self.totals["events"] += 1
        for effect in effects:
            self._perform(index, effect)
        if wakeup != self._next_tick[index]:
            self._next_tick[index] = wakeup
            # The clock moves on between ticks, as in a real process.
            self._schedule(max(wakeup - self.now, 1e-6), index, Tick())

    def _perform(self, index: int, effect) -> None:
        sender = self.cores[index].me
        match effect:
            case SendToPeer(address, message):
                self._transmit(message)
                event = PeerMessage(sender, message)
                self._schedule(self._delay(), self._indices[address], event)
            case CallPeer(_, address, message, _):
                self._transmit(message)
                number = f"call-{next(self._numbers)}"
                self._calls[number] = (index, effect)
                event = PeerMessage(sender, message, number)
                self._schedule(self._delay(), self._indices[address], event)
            case ReplyToPeer(number, message):
                self._transmit(message)
                caller, call = self._calls.pop(number)
                event = PeerReplied(call.call, message)
                self._schedule(self._delay(), caller, event)
            case LogChange("configuration_in_force", fields):
                if dict(fields)["version"] == self.row[0]:
                    self.in_force[index] = self.now

    def _delay(self) -> float:
        return LATENCY_S * self._rng.uniform(0.5, 1.5)

    def _transmit(self, message: protocol.Message) -> None:
        """Counts a message by the size of its frame.

        Each peer's link encodes on its own, so each copy costs an encoding.
        """
        started = time.thread_time()
        frame = protocol.encode(protocol.Envelope(0, False, message))
        encoded = time.thread_time()
        protocol.decode(frame)
        self.totals["codec_s"] += time.thread_time() - started
        self.totals["encode_s"] += encoded - started
        kind = type(message).__name__
        if isinstance(message, protocol.Gossip):
            kind = "full" if message.full else "heartbeat"
        self.totals[f"{kind}_messages"] += 1
        self.totals[f"{kind}_bytes"] += len(frame) + FRAME_LENGTH_BYTES
        self.totals["messages"] += 1
        self.totals["bytes"] += len(frame) + FRAME_LENGTH_BYTES
