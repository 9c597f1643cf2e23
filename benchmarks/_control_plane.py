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

POLL_INTERVAL_S = 1.0
MEAN_LATENCY_S = 0.001
FRAME_LENGTH_BYTES = 4
# Real splits stop at 64 entries a zone; this keeps larger sites ready.
CONNECTION_SPLIT = ConnectionSplit(48, 4096, 48, 4096)


@attrs.frozen
class SiteSize:
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
    polling_entries: int | None = None


def zone_name(number: int, shape: SiteSize) -> str:
    """Zone of the entry or target with this number."""
    return f"zone-{number % shape.zones:02d}"


def make_incarnation(number: int, shape: SiteSize) -> Incarnation:
    """Process with an address and token of realistic length."""
    address = f"10.0.{number // 250}.{number % 250}:7102"
    return Incarnation(zone_name(number, shape), address, f"{number:016x}")


def make_vm_list(shape: SiteSize) -> tuple[VmInfo, ...]:
    """The platform's list."""
    entries = (make_incarnation(n, shape) for n in range(shape.entries))
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


def vm_list_bytes(vms: tuple[VmInfo, ...]) -> int:
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

    def __init__(self, shape: SiteSize, seed: int = 1):
        self.shape = shape
        self.now = 0.0
        self.totals: collections.Counter = collections.Counter()
        self.applied_at: dict[int, float] = {}
        self.vms = make_vm_list(shape)
        self.vm_list_revision = 1
        self.configuration_row: tuple[int, dict] = (0, {})
        self._rng = random.Random(seed)
        self._queue: list = []
        self._sequence = itertools.count()
        self._pending_calls: dict[str, tuple[int, CallPeer]] = {}
        self.change_configuration()
        self.cores = [self._make_core(n) for n in range(shape.entries)]
        self._index_by_address = {
            c.me.address: n for n, c in enumerate(self.cores)
        }
        self._next_tick = [0.0] * shape.entries
        for index in range(shape.entries):
            self._schedule(0.0, index, Tick())
            if shape.polling_entries is None or index < shape.polling_entries:
                self._schedule(
                    self._rng.uniform(0, POLL_INTERVAL_S), index, None
                )

    def _make_core(self, number: int) -> EntryCore:
        # Entries without the platform know each other as seeds.
        seeds = tuple(v.address for v in self.vms[: self.shape.entries])
        options = CoreOptions(connections=CONNECTION_SPLIT, seeds=seeds)
        rng = random.Random(self._rng.random())
        me = make_incarnation(number, self.shape)
        return EntryCore(me, bytes(32), options, rng, 0.0)

    def change_configuration(self) -> None:
        """Writes the next version of the row."""
        version, value = self.configuration_row
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
        self.configuration_row = (version + 1, row)
        self.applied_at.clear()

    def mark_target_leaving(self) -> None:
        """Lists the last target as leaving."""
        last = attrs.evolve(self.vms[-1], state=VmState.LEAVING)
        self.vms = (*self.vms[:-1], last)
        self.vm_list_revision += 1

    def reset_totals(self) -> None:
        """Starts to count anew."""
        self.totals.clear()

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        until = self.now + seconds
        while self._queue[0][0] <= until:
            self.now, _, index, event = heapq.heappop(self._queue)
            if event is None:
                self._poll_platform(index)
            else:
                self._handle_event(index, event)
        self.now = until

    def _schedule(self, delay: float, index: int, event) -> None:
        entry = (self.now + delay, next(self._sequence), index, event)
        heapq.heappush(self._queue, entry)

    def _poll_platform(self, index: int) -> None:
        self.totals["platform_requests"] += 2
        self.totals["list_reads"] += 1
        self._handle_event(
            index, VmListReceived(self.vm_list_revision, self.vms)
        )
        self._handle_event(
            index, ConfigurationReceived(*self.configuration_row)
        )
        self._schedule(POLL_INTERVAL_S, index, None)

    def _handle_event(self, index: int, event: Event) -> None:
        core = self.cores[index]
        if isinstance(event, Tick) and self._next_tick[index] > self.now:
            return
        started = time.thread_time()
        effects = core.handle(event, self.now)
        wakeup = core.next_wakeup(self.now)
        self.totals["core_s"] += time.thread_time() - started
        self.totals["events"] += 1
        for effect in effects:
            self._apply_effect(index, effect)
        if wakeup != self._next_tick[index]:
            self._next_tick[index] = wakeup
            # The clock moves on between ticks, as in a real process.
            self._schedule(max(wakeup - self.now, 1e-6), index, Tick())

    def _apply_effect(self, index: int, effect) -> None:
        sender = self.cores[index].me
        match effect:
            case SendToPeer(address, message):
                self._count_message(message)
                event = PeerMessage(sender, message)
                self._schedule(
                    self._draw_latency(), self._index_by_address[address], event
                )
            case CallPeer(_, address, message, _):
                self._count_message(message)
                number = f"call-{next(self._sequence)}"
                self._pending_calls[number] = (index, effect)
                event = PeerMessage(sender, message, number)
                self._schedule(
                    self._draw_latency(), self._index_by_address[address], event
                )
            case ReplyToPeer(number, message):
                self._count_message(message)
                caller, call = self._pending_calls.pop(number)
                event = PeerReplied(call.call, message)
                self._schedule(self._draw_latency(), caller, event)
            case LogChange("configuration_in_force", fields):
                if dict(fields)["version"] == self.configuration_row[0]:
                    self.applied_at[index] = self.now

    def _draw_latency(self) -> float:
        return MEAN_LATENCY_S * self._rng.uniform(0.5, 1.5)

    def _count_message(self, message: protocol.Message) -> None:
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
