"""Exchange of membership between entries."""

import random

from anvilford.entry._events import Effect
from anvilford.entry._events import SendToPeer
from anvilford.entry._options import CoreOptions
from anvilford.membership import Directory
from anvilford.model import Incarnation
from anvilford.protocol import EntryInfo
from anvilford.protocol import Gossip

# News is pushed at once to at most this many peers; periodic rounds and the
# peers' own pushes reach the rest.
MAX_PUSH_FANOUT = 16


class Gossiper:
    """Decides when and to whom this entry sends what it knows.

    A round sends heartbeats and a fingerprint; VMs, marks and successors
    follow only when fingerprints differ.

    Attributes:
        me: This process.
        options: Intervals and fan-out.
        directory: The membership that is exchanged.
        rng: Source of the choice of peers.
        heartbeat: Grows with each message sent.
        draining: True once a planned stop began.
        configuration_version: Version in force here.
        has_synchronized: True once a peer's view was merged or equal to this one.
        next_round: Loop time of the next periodic round.
    """

    def __init__(
        self,
        me: Incarnation,
        options: CoreOptions,
        directory: Directory,
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
        """Runs the periodic round when it is due."""
        if now < self.next_round:
            return []
        self.next_round = now + self.options.gossip_interval
        self.directory.expire(now)
        return self._send(self._sample_round_peers(), False, now)

    def push_full_state(self, now: float) -> list[Effect]:
        """Sends everything to the known peers because something is new."""
        return self._send(self._sample_push_peers(), True, now)

    def push_entry_states(self, now: float) -> list[Effect]:
        """Like `push`, for news that stands in the entries themselves.

        With 2,000 targets the VMs made a change of the configuration cost
        913 kB per entry. A peer whose fingerprint differs still answers with
        everything it knows.
        """
        return self._send(self._sample_push_peers(), False, now)

    def receive(self, gossip: Gossip, now: float) -> list[Effect]:
        """Merges a peer's message and answers it when the views differ."""
        before = self.directory.fingerprint()
        for entry in gossip.entries:
            self.directory.observe_entry(entry, now)
        for vm in gossip.vms:
            self.directory.observe_vm(vm, now)
        for mark in gossip.marks:
            self.directory.observe_mark(mark)
        for successor in gossip.successors:
            self.directory.observe_successor(successor)
        after = self.directory.fingerprint()
        if gossip.full or after == gossip.fingerprint:
            self.has_synchronized = True
        if after != before:
            return self._send(self._sample_round_peers(), True, now)
        if after != gossip.fingerprint:
            return self._send([gossip.sender], True, now)
        return []

    def has_peers(self) -> bool:
        """Tells whether any other entry is known or configured."""
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
        self.directory.observe_entry(self.describe_self(), now)
        message = self._build_message(full)
        return [SendToPeer(address, message) for address in addresses]

    def describe_self(self) -> EntryInfo:
        """This entry as its peers see it."""
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
            tuple(directory.current_marks()),
            tuple(directory.successors.values()),
            full=True,
        )
