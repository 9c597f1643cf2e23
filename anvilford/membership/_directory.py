"""Membership state of one entry daemon, merged from several sources.

The sources are the platform's list of VMs and the gossip of other entries. All
merge rules are deterministic, so that entries with the same input agree.
"""

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

# A VM that is known only from peers counts as gone if it is missing from every
# list for this long. With a shorter limit, new VMs would be removed while the
# platform's list still lags behind.
LIST_LAG_LIMIT_S = 60.0
# A removed VM is kept as a tombstone (state GONE) for this long, so that a late
# list or a late message of a peer cannot add it again.
TOMBSTONE_RETENTION_S = 600.0
# Handovers kept; the oldest are dropped first.
MAX_SUCCESSORS = 256


@attrs.define
class KnownVm:
    """A VM and when this entry received information about it.

    Attributes:
        info: Merged description of the VM.
        listed_revision: Newest revision of the platform's list that contained
            the VM; None if only peers reported it.
        seen_at: Event-loop time, in seconds, at which the VM was added here or
            its state became GONE.
    """

    info: VmInfo
    listed_revision: int | None
    seen_at: float


@attrs.define
class KnownEntry:
    """An entry daemon and the time of its newest heartbeat.

    Attributes:
        info: Description with the highest heartbeat counter received.
        last_heartbeat_at: Event-loop time, in seconds, at which `info` arrived.
    """

    info: EntryInfo
    last_heartbeat_at: float


class MembershipDirectory:
    """Membership state that is merged from the platform's list and from gossip.

    Merges are idempotent, and their result does not depend on their order. All
    times (`now`) are event-loop times in seconds.

    Attributes:
        vms: Known VMs by id, tombstones included.
        marks: Operator marks by VM id.
        entries: Known entry daemons by incarnation token.
        successors: Handovers by token of the stopped incarnation.
        list_revision: Newest revision of the platform's list; -1 before the
            first list.
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
        """Merges a revision of the platform's list.

        A list older than one already merged only advances the state of known
        VMs. It adds no VM, and it removes none that it does not contain.

        Args:
            revision: Revision of the list.
            vms: All VMs in the list.
            now: Time of the merge, in seconds.
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
            if vm_id not in listed and self._was_removed(known, revision, now):
                self.merge_vm(attrs.evolve(known.info, state=VmState.GONE), now)

    def _was_removed(self, known: KnownVm, revision: int, now: float) -> bool:
        """Returns whether a VM missing from the platform's list was removed.

        A VM that an earlier revision contained was removed. A VM known only
        from peers may not have been listed yet; it counts as removed after
        `LIST_LAG_LIMIT_S`.

        Args:
            known: VM that the list does not contain.
            revision: Revision of the list.
            now: Time of the merge, in seconds.
        """
        if known.info.state is VmState.GONE:
            return False
        if known.listed_revision is not None:
            return known.listed_revision < revision
        return now - known.seen_at > LIST_LAG_LIMIT_S

    def merge_vm(self, vm: VmInfo, now: float) -> None:
        """Merges one VM; its state only advances: LIVE, LEAVING, GONE."""
        known = self.vms.get(vm.vm_id)
        if known is None:
            # Tombstones of unknown VMs are ignored. If they were added, peers
            # that had dropped them would receive them from one another again
            # and again, so that they would never expire.
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
        """Records that a target reported its own imminent shutdown."""
        known = self.vms.get(vm_id)
        if known is not None:
            self.merge_vm(attrs.evolve(known.info, state=VmState.LEAVING), now)

    def create_mark(self, vm_id: str, drained: bool, author: str) -> Mark:
        """Creates an operator mark that overrides every mark known here.

        Args:
            vm_id: VM that the mark applies to.
            drained: True if the VM must get no new work.
            author: Incarnation token of the entry that creates the mark.
        """
        counters = (mark.counter for mark in self.marks.values())
        mark = Mark(vm_id, drained, max(counters, default=0) + 1, author)
        self.merge_mark(mark)
        return mark

    def merge_mark(self, mark: Mark) -> None:
        """Merges an operator mark; the larger (counter, author) wins."""
        known = self.marks.get(mark.vm_id)
        if known is None or (
            (mark.counter, mark.author) > (known.counter, known.author)
        ):
            self.marks[mark.vm_id] = mark
            self._fingerprint = None

    def active_marks(self) -> list[Mark]:
        """Returns the marks of VMs that are not gone, for gossip and storage.

        Entries drop tombstones at different times. If marks of gone VMs were
        sent, an entry that still has such a mark would return it to entries
        that have dropped it, and no entry would ever lose it for good.
        """
        return [
            mark
            for vm_id, mark in self.marks.items()
            if vm_id in self.vms
            and self.vms[vm_id].info.state is not VmState.GONE
        ]

    def merge_successor(self, successor: Successor) -> None:
        """Merges a handover; a sealed one wins, then the larger counter."""
        token = successor.owner.token
        known = self.successors.get(token)
        if known is None or _merge_key(successor) > _merge_key(known):
            self.successors[token] = successor
            self._fingerprint = None
        while len(self.successors) > MAX_SUCCESSORS:
            del self.successors[next(iter(self.successors))]

    def merge_entry(self, info: EntryInfo, now: float) -> None:
        """Merges an entry daemon; the higher heartbeat counter wins.

        A heartbeat that is not new, for example one relayed by a peer, does not
        count as a sign of life.
        """
        token = info.incarnation.token
        known = self.entries.get(token)
        if known is None or info.heartbeat > known.info.heartbeat:
            self.entries[token] = KnownEntry(info, now)

    def expire(self, now: float) -> None:
        """Drops tombstones, marks without a VM and entries without a heartbeat.

        Tombstones and entries are dropped after `TOMBSTONE_RETENTION_S`.
        """
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
        """Excludes a pause of this process from the age of all heartbeats.

        While this process was suspended it received no heartbeats. Without the
        correction it would suspect every other entry afterwards.

        Args:
            pause: Duration of the pause, in seconds.
        """
        for entry in self.entries.values():
            entry.last_heartbeat_at += pause

    def is_suspect(self, token: str, now: float, limit: float) -> bool:
        """Returns whether an entry is suspected to have failed.

        Args:
            token: Incarnation token of the entry.
            now: Current time.
            limit: Age of the last heartbeat beyond which it is suspected, in
                seconds. An unknown entry is always suspected.
        """
        entry = self.entries.get(token)
        return entry is None or now - entry.last_heartbeat_at > limit

    def live_entries(self, now: float, limit: float) -> list[EntryInfo]:
        """Returns the entries with a heartbeat in the last `limit` seconds."""
        return [
            entry.info
            for entry in self.entries.values()
            if now - entry.last_heartbeat_at <= limit
        ]

    def entry_addresses(self) -> set[str]:
        """Returns the peer addresses of all entries not known to be gone."""
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
        """Returns the incarnation at an address with the newest heartbeat."""
        heard = [
            entry
            for entry in self.entries.values()
            if entry.info.incarnation.address == address
        ]
        if not heard:
            return None
        return max(heard, key=lambda e: e.last_heartbeat_at).info.incarnation

    def targets(self) -> list[VmInfo]:
        """Returns all targets that are not gone."""
        return [
            known.info
            for known in self.vms.values()
            if known.info.role is VmRole.TARGET
            and known.info.state is not VmState.GONE
        ]

    def accepts_work(self, vm: VmInfo) -> bool:
        """Returns whether a target may get new work."""
        mark = self.marks.get(vm.vm_id)
        is_drained = mark is not None and mark.drained
        return vm.state is VmState.LIVE and not is_drained

    def fingerprint(self) -> bytes:
        """Returns a digest of VMs, marks and handovers, for comparing entries.

        Tombstones are left out, because entries drop them at different times.
        """
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
                f"{t}\0{s.holder.token}\0{_merge_key(s)}"
                for t, s in self.successors.items()
            )
            text = "\n".join(parts).encode()
            self._fingerprint = hashlib.sha256(text).digest()[:8]
        return self._fingerprint


def _merge_key(successor: Successor) -> tuple[bool, int, str]:
    """Returns the key by which the larger of two handovers wins a merge."""
    return (successor.sealed, successor.counter, successor.holder.token)
