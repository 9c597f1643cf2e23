"""Simulates the entries' control traffic on a virtual clock.

The entries run the real `EntryCore`, and every message between them is encoded
and decoded by the real codec, so that bytes and processor time are real. Tasks,
sockets and threads are left out.
"""

import collections
import heapq
import itertools
import json
import random
import time

import attrs

from anvilford import protocol
from anvilford.configuration import next_row_value
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
# Gives each entry one connection to each target, for up to 48 entries in the
# zone of the target and 4,096 in the other zones. Valid settings allow 64
# connections to a target and thus at most 64 entries in a zone; simulated sites
# may be larger.
CONNECTION_SPLIT = ConnectionSplit(48, 4096, 48, 4096)


@attrs.frozen
class SiteSize:
    """Numbers of processes, zones and services of a simulated site.

    Attributes:
        entries: Entry daemons, spread evenly over the zones.
        targets: Targets, spread evenly over the zones and services.
        zones: Availability zones.
        services: Services, each with its own limits in the configuration.
        polling_entries: Number of entries that can reach the platform; None if
            all can. The others receive its data from other entries.
    """

    entries: int = 9
    targets: int = 24
    zones: int = 4
    services: int = 1
    polling_entries: int | None = None


def zone_name(number: int, site_size: SiteSize) -> str:
    """Returns the zone of the entry or target with the given number."""
    return f"zone-{number % site_size.zones:02d}"


def make_incarnation(number: int, site_size: SiteSize) -> Incarnation:
    """Returns an entry process whose address and token have real lengths."""
    address = f"10.0.{number // 250}.{number % 250}:7102"
    return Incarnation(zone_name(number, site_size), address, f"{number:016x}")


def make_vm_list(site_size: SiteSize) -> tuple[VmInfo, ...]:
    """Returns the platform's VM list: first the entries, then the targets."""
    entries = (make_incarnation(n, site_size) for n in range(site_size.entries))
    vms = [
        VmInfo(f"vm-{n:08x}", VmRole.ENTRY, e.zone, e.address, "", VmState.LIVE)
        for n, e in enumerate(entries)
    ]
    # Target n is in zone n % zones. Its service is chosen by n // zones, its
    # number within the zone, so that every zone has targets of every service.
    vms += [
        VmInfo(
            f"vm-{site_size.entries + n:08x}",
            VmRole.TARGET,
            zone_name(n, site_size),
            f"10.1.{n // 250}.{n % 250}:7300",
            f"service-{n // site_size.zones % site_size.services:03d}",
            VmState.LIVE,
        )
        for n in range(site_size.targets)
    ]
    return tuple(vms)


def vm_list_bytes(vms: tuple[VmInfo, ...]) -> int:
    """Returns the size in bytes of the platform's response with the VM list."""
    documents = [
        attrs.asdict(vm)
        | {"role": vm.role.name.lower(), "state": vm.state.name.lower()}
        for vm in vms
    ]
    return len(json.dumps({"revision": 1, "vms": documents}))


class ControlPlane:
    """Simulated entries and platform that run no tasks.

    Attributes:
        site_size: Size of the site.
        cores: Cores of the entries, by entry number.
        now: Virtual time in seconds.
        totals: Counts of messages, requests and events, bytes, and processor
            time in seconds since the last `reset_totals`, by name.
        applied_at: Virtual time in seconds at which an entry applied the
            newest configuration version, by entry number. Cleared by
            `change_configuration`.
        vms: VM list that the platform currently returns.
        vm_list_revision: Revision of the VM list.
        configuration_row: Version and value of the configuration row that the
            platform currently returns.
    """

    def __init__(self, site_size: SiteSize, seed: int = 1):
        self.site_size = site_size
        self.now = 0.0
        self.totals: collections.Counter = collections.Counter()
        self.applied_at: dict[int, float] = {}
        self.vms = make_vm_list(site_size)
        self.vm_list_revision = 1
        self.configuration_row: tuple[int, dict] = (0, {})
        self._rng = random.Random(seed)
        self._queue: list = []
        self._sequence = itertools.count()
        self._pending_calls: dict[str, tuple[int, CallPeer]] = {}
        self.change_configuration()
        self.cores = [self._make_core(n) for n in range(site_size.entries)]
        self._index_by_address = {
            c.me.address: n for n, c in enumerate(self.cores)
        }
        self._next_tick = [0.0] * site_size.entries
        for index in range(site_size.entries):
            self._schedule(0.0, index, Tick())
            if (
                site_size.polling_entries is None
                or index < site_size.polling_entries
            ):
                self._schedule(
                    self._rng.uniform(0, POLL_INTERVAL_S), index, None
                )

    def _make_core(self, number: int) -> EntryCore:
        # Lets entries that cannot reach the platform find the others.
        seeds = tuple(v.address for v in self.vms[: self.site_size.entries])
        options = CoreOptions(connections=CONNECTION_SPLIT, seeds=seeds)
        rng = random.Random(self._rng.random())
        me = make_incarnation(number, self.site_size)
        return EntryCore(me, bytes(32), options, rng, 0.0)

    def change_configuration(self) -> None:
        """Stores the next version of the configuration at the platform."""
        version, value = self.configuration_row
        current = parse_row(version, value).ok if version else None
        services = {
            f"service-{n:03d}": {
                "weight": 1.0 + n % 50,
                "max_queued_tasks": 1_000_000,
            }
            for n in range(self.site_size.services)
        }
        preset = "peak" if version % 2 else "ordinary"
        document = parse_document({"preset": preset, "services": services})
        row = next_row_value(current, document.ok, f"operation-{version}", "me")
        self.configuration_row = (version + 1, row)
        self.applied_at.clear()

    def mark_target_leaving(self) -> None:
        """Sets the state of the last target in the VM list to leaving."""
        last = attrs.evolve(self.vms[-1], state=VmState.LEAVING)
        self.vms = (*self.vms[:-1], last)
        self.vm_list_revision += 1

    def reset_totals(self) -> None:
        """Sets all totals to zero."""
        self.totals.clear()

    def run(self, seconds: float) -> None:
        """Processes all events of the next seconds of virtual time."""
        until = self.now + seconds
        while self._queue[0][0] <= until:
            self.now, _, index, event = heapq.heappop(self._queue)
            if event is None:
                self._poll_platform(index)
            else:
                self._handle_event(index, event)
        self.now = until

    def _schedule(self, delay: float, index: int, event) -> None:
        """Queues an event for an entry; None makes it poll the platform."""
        item = (self.now + delay, next(self._sequence), index, event)
        heapq.heappush(self._queue, item)

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
            # The wakeup has been postponed since this tick was scheduled.
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
            # Time passes between two ticks, as in a real process, even if the
            # next wakeup is already due.
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
        """Adds a message's frame size and codec time to the totals.

        A message to several peers is counted once for each of them, because
        each connection to a peer encodes its own copy.
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
