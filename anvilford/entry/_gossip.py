"""Exchange of membership between entries by gossip."""

import random

from anvilford.entry._events import Effect
from anvilford.entry._events import SendToPeer
from anvilford.entry._options import CoreOptions
from anvilford.membership import MembershipDirectory
from anvilford.model import Incarnation
from anvilford.protocol import EntryInfo
from anvilford.protocol import Gossip

# Maximum number of peers to which a change is sent immediately. Other peers
# receive it from periodic rounds and from the pushes of those that got it.
MAX_PUSH_FANOUT = 16


class Gossiper:
    """Sends this entry's membership state to its peers and merges theirs.

    A periodic round sends the state of all entries, with their heartbeats, and
    a fingerprint of the directory. VMs, marks and successors are sent only
    when the fingerprints of two entries differ.

    Attributes:
        me: Incarnation of this process.
        options: Gossip interval, fan-out, seeds and weight of this entry.
        directory: Membership that is exchanged.
        rng: Random source for the choice of peers.
        heartbeat: Counter of this entry, incremented whenever it sends gossip.
        draining: True once a planned stop has begun; set by `Drain`.
        configuration_version: Version in force at this entry; set by
            `EntryCore`.
        has_synchronized: True once a peer sent its full state, or a
            fingerprint equal to this entry's.
        next_round: Loop time of the next periodic round, in seconds.
    """

    def __init__(
        self,
        me: Incarnation,
        options: CoreOptions,
        directory: MembershipDirectory,
        rng: random.Random,
    ):
        self.me = me
        self.options = options
        self.directory = directory
        self.rng = rng
        self.heartbeat = 0
        self.draining = False
        self.configuration_version = 0
        self.has_synchronized = False
        self.next_round = 0.0

    def advance(self, now: float) -> list[Effect]:
        """Runs the periodic round when it is due.

        Args:
            now: Loop time in seconds.
        """
        if now < self.next_round:
            return []
        self.next_round = now + self.options.gossip_interval
        self.directory.expire(now)
        return self._send(self._sample_round_peers(), False, now)

    def push_full_state(self, now: float) -> list[Effect]:
        """Sends the full state to up to `MAX_PUSH_FANOUT` peers."""
        return self._send(self._sample_push_peers(), True, now)

    def push_entry_states(self, now: float) -> list[Effect]:
        """Sends the state of all entries, without VMs, to up to 16 peers.

        This is enough for changes in the entries' own state, such as the
        configuration version. With 2,000 targets, full states made a change of
        the configuration cost 913 kB per entry. A peer whose fingerprint
        differs still answers with its full state.
        """
        return self._send(self._sample_push_peers(), False, now)

    def receive(self, gossip: Gossip, now: float) -> list[Effect]:
        """Merges a peer's state.

        Args:
            gossip: Message of the peer.
            now: Loop time in seconds.

        Returns:
            The full state for random peers if the merge changed the directory,
            for the sender if only its fingerprint differs, otherwise nothing.
        """
        before = self.directory.fingerprint()
        for entry in gossip.entries:
            self.directory.merge_entry(entry, now)
        for vm in gossip.vms:
            self.directory.merge_vm(vm, now)
        for mark in gossip.marks:
            self.directory.merge_mark(mark)
        for successor in gossip.successors:
            self.directory.merge_successor(successor)
        after = self.directory.fingerprint()
        if gossip.full or after == gossip.fingerprint:
            self.has_synchronized = True
        if after != before:
            return self._send(self._sample_round_peers(), True, now)
        if after != gossip.fingerprint:
            return self._send([gossip.sender], True, now)
        return []

    def has_peers(self) -> bool:
        """Returns whether any other entry is known or configured as a seed."""
        return bool(self._list_peer_addresses())

    def _sample_round_peers(self) -> list[str]:
        peers = self._list_peer_addresses()
        count = min(len(peers), self.options.gossip_fanout)
        return self.rng.sample(peers, count)

    def _sample_push_peers(self) -> list[str]:
        peers = self._list_peer_addresses()
        return self.rng.sample(peers, min(len(peers), MAX_PUSH_FANOUT))

    def _list_peer_addresses(self) -> list[str]:
        addresses = self.directory.entry_addresses()
        addresses.update(self.options.seeds)
        addresses.discard(self.me.address)
        return sorted(addresses)

    def _send(
        self, addresses: list[str], full: bool, now: float
    ) -> list[Effect]:
        self.heartbeat += 1
        self.directory.merge_entry(self.describe_self(), now)
        message = self._build_message(full)
        return [SendToPeer(address, message) for address in addresses]

    def describe_self(self) -> EntryInfo:
        """Returns the state of this entry that its peers receive."""
        return EntryInfo(
            self.me,
            self.heartbeat,
            self.options.weight,
            self.draining,
            self.configuration_version,
        )

    def _build_message(self, full: bool) -> Gossip:
        directory = self.directory
        entries = tuple(known.info for known in directory.entries.values())
        fingerprint = directory.fingerprint()
        if not full:
            return Gossip(self.me.address, entries, fingerprint)
        return Gossip(
            self.me.address,
            entries,
            fingerprint,
            tuple(known.info for known in directory.vms.values()),
            tuple(directory.active_marks()),
            tuple(directory.successors.values()),
            full=True,
        )
