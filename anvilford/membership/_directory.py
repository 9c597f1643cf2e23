"""What one entry knows of VMs, operator marks, entries and handovers."""

import hashlib
from collections.abc import Iterable

import attrs

from anvilford.model import Incarnation
from anvilford.protocol import EntryInfo
from anvilford.protocol import Mark
from anvilford.protocol import Successor
from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState

# A VM known only from peers and absent from every list for this long is gone;
# a shorter limit would remove new VMs while the list still lags behind.
LIST_LAG_LIMIT_S = 60.0
# GONE entries are kept this long, so that a late list or peer cannot bring a
# removed VM back.
TOMBSTONE_RETENTION_S = 600.0
MAX_SUCCESSORS = 256


@attrs.define
class KnownVm:
    """A VM with local bookkeeping.

    Attributes:
        info: Merged description.
        listed_revision: Newest revision of the list that showed it, or None.
        seen_at: Loop time at which it was first known or became GONE.
    """

    info: VmInfo
    listed_revision: int | None
    seen_at: float


@attrs.define
class KnownEntry:
    """An entry daemon with the time of its last new heartbeat."""

    info: EntryInfo
    last_heartbeat_at: float


class MembershipDirectory:
    """Merged membership; every merge is idempotent and order-free.

    Attributes:
        vms: Known VMs by id.
        marks: Operator marks by VM id.
        entries: Known entry daemons by incarnation token.
        successors: Handovers by token of the stopped incarnation.
        list_revision: Newest revision of the platform's list.
    """

    def __init__(self):
        self.vms: dict[str, KnownVm] = {}
        self.marks: dict[str, Mark] = {}
        self.entries: dict[str, KnownEntry] = {}
        self.successors: dict[str, Successor] = {}
        self.list_revision = -1
        self._fingerprint: bytes | None = None

    def merge_list(
        self, revision: int, vms: Iterable[VmInfo], now: float
    ) -> None:
        """Merges the platform's list.

        A list older than one already seen can only move states forward: it
        neither adds VMs nor removes the ones that it lacks.
        """
        is_stale = revision < self.list_revision
        listed = {vm.vm_id for vm in vms}
        for vm in vms:
            if vm.vm_id in self.vms or not is_stale:
                self.merge_vm(vm, now)
                known = self.vms[vm.vm_id]
                known.listed_revision = max(
                    revision, known.listed_revision or revision
                )
        if is_stale:
            return
        self.list_revision = revision
        for vm_id, known in list(self.vms.items()):
            if vm_id not in listed and self._is_gone(known, revision, now):
                self.merge_vm(attrs.evolve(known.info, state=VmState.GONE), now)

    def _is_gone(self, known: KnownVm, revision: int, now: float) -> bool:
        if known.info.state is VmState.GONE:
            return False
        if known.listed_revision is not None:
            return known.listed_revision < revision
        return now - known.seen_at > LIST_LAG_LIMIT_S

    def merge_vm(self, vm: VmInfo, now: float) -> None:
        """Merges one VM: the later state of its life wins."""
        known = self.vms.get(vm.vm_id)
        if known is None:
            # Taking over unknown tombstones would renew them at every peer
            # in turn, so that they would never expire.
            if vm.state is VmState.GONE:
                return
            self.vms[vm.vm_id] = KnownVm(vm, None, now)
            self._fingerprint = None
        elif vm.state > known.info.state:
            known.info = attrs.evolve(known.info, state=vm.state)
            if vm.state is VmState.GONE:
                known.seen_at = now
            self._fingerprint = None

    def record_leaving(self, vm_id: str, now: float) -> None:
        """Records that a target said itself that it is leaving."""
        known = self.vms.get(vm_id)
        if known is not None:
            self.merge_vm(attrs.evolve(known.info, state=VmState.LEAVING), now)

    def create_mark(self, vm_id: str, drained: bool, author: str) -> Mark:
        """Makes an operator mark that wins over every mark known here."""
        counters = (mark.counter for mark in self.marks.values())
        mark = Mark(vm_id, drained, max(counters, default=0) + 1, author)
        self.merge_mark(mark)
        return mark

    def merge_mark(self, mark: Mark) -> None:
        """Merges an operator mark: the larger (counter, author) wins."""
        known = self.marks.get(mark.vm_id)
        if known is None or (
            (mark.counter, mark.author) > (known.counter, known.author)
        ):
            self.marks[mark.vm_id] = mark
            self._fingerprint = None

    def active_marks(self) -> list[Mark]:
        """Marks of VMs that are not gone; only these are passed on.

        Entries drop tombstones at different times. A mark that outlived its VM
        at one of them would otherwise return to the others again and again.
        """
        return [
            mark
            for vm_id, mark in self.marks.items()
            if vm_id in self.vms
            and self.vms[vm_id].info.state is not VmState.GONE
        ]

    def merge_successor(self, successor: Successor) -> None:
        """Merges a handover: a sealed one wins, then the larger counter."""
        token = successor.owner.token
        known = self.successors.get(token)
        if known is None or _rank(successor) > _rank(known):
            self.successors[token] = successor
            self._fingerprint = None
        while len(self.successors) > MAX_SUCCESSORS:
            del self.successors[next(iter(self.successors))]

    def merge_entry(self, info: EntryInfo, now: float) -> None:
        """Merges an entry daemon: the larger heartbeat wins."""
        token = info.incarnation.token
        known = self.entries.get(token)
        if known is None or info.heartbeat > known.info.heartbeat:
            self.entries[token] = KnownEntry(info, now)

    def expire(self, now: float) -> None:
        """Drops tombstones and entries that were silent for long."""
        for vm_id, known in list(self.vms.items()):
            if (
                known.info.state is VmState.GONE
                and now - known.seen_at > TOMBSTONE_RETENTION_S
            ):
                del self.vms[vm_id]
                self._fingerprint = None
        for vm_id in [v for v in self.marks if v not in self.vms]:
            del self.marks[vm_id]
        for token, entry in list(self.entries.items()):
            if now - entry.last_heartbeat_at > TOMBSTONE_RETENTION_S:
                del self.entries[token]

    def discount_pause(self, pause: float) -> None:
        """Excludes a pause of this process from the silence of others."""
        for entry in self.entries.values():
            entry.last_heartbeat_at += pause

    def is_suspect(self, token: str, now: float, limit: float) -> bool:
        """Tells whether an entry's heartbeat is unknown or too old."""
        entry = self.entries.get(token)
        return entry is None or now - entry.last_heartbeat_at > limit

    def live_entries(self, now: float, limit: float) -> list[EntryInfo]:
        """Entries with a recent heartbeat."""
        return [
            entry.info
            for entry in self.entries.values()
            if now - entry.last_heartbeat_at <= limit
        ]

    def entry_addresses(self) -> set[str]:
        """Peer addresses of all entries that are not known to be gone."""
        gone = {
            known.info.address
            for known in self.vms.values()
            if known.info.role is VmRole.ENTRY
            and known.info.state is VmState.GONE
        }
        listed = {
            known.info.address
            for known in self.vms.values()
            if known.info.role is VmRole.ENTRY
            and known.info.state is not VmState.GONE
        }
        heard = {
            entry.info.incarnation.address for entry in self.entries.values()
        }
        return listed | (heard - gone)

    def newest_incarnation(self, address: str) -> Incarnation | None:
        """The process heard most recently at an address."""
        heard = [
            entry
            for entry in self.entries.values()
            if entry.info.incarnation.address == address
        ]
        if not heard:
            return None
        return max(heard, key=lambda e: e.last_heartbeat_at).info.incarnation

    def targets(self) -> list[VmInfo]:
        """Targets that are not gone."""
        return [
            known.info
            for known in self.vms.values()
            if known.info.role is VmRole.TARGET
            and known.info.state is not VmState.GONE
        ]

    def accepts_work(self, vm: VmInfo) -> bool:
        """Tells whether a target may be given new work."""
        mark = self.marks.get(vm.vm_id)
        is_drained = mark is not None and mark.drained
        return vm.state is VmState.LIVE and not is_drained

    def fingerprint(self) -> bytes:
        """Digest of VMs, marks and successors; tombstones are left out."""
        if self._fingerprint is None:
            parts = sorted(
                f"{k.info.vm_id}\0{int(k.info.state)}"
                for k in self.vms.values()
                if k.info.state is not VmState.GONE
            )
            parts += sorted(
                f"{m.vm_id}\0{m.drained}\0{m.counter}\0{m.author}"
                for m in self.active_marks()
            )
            parts += sorted(
                f"{t}\0{s.holder.token}\0{_rank(s)}"
                for t, s in self.successors.items()
            )
            text = "\n".join(parts).encode()
            self._fingerprint = hashlib.sha256(text).digest()[:8]
        return self._fingerprint


def _rank(successor: Successor) -> tuple[bool, int, str]:
    return (successor.sealed, successor.counter, successor.holder.token)
