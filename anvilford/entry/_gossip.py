"""Exchange of membership between entries."""

import random

from anvilford.entry._events import Effect
from anvilford.entry._events import SendPeer
from anvilford.entry._options import CoreOptions
from anvilford.membership import MembershipDirectory
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
        heard_full: True once a peer's view was merged or equal to this one.
        next_round: Loop time of the next periodic round.
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
        self.heard_full = False
        self.next_round = 0.0

    def advance(self, now: float) -> list[Effect]:
        """Runs the periodic round when it is due."""
        if now < self.next_round:
            return []
        self.next_round = now + self.options.gossip_interval
        self.directory.expire(now)
        return self._send(self._sample(), False, now)

    def push(self, now: float) -> list[Effect]:
        """Sends everything to the known peers because something is new."""
        return self._send(self._push_sample(), True, now)

    def push_entries(self, now: float) -> list[Effect]:
        """Like `push`, for news that stands in the entries themselves.

        With 2,000 targets the VMs made a change of the configuration cost
        913 kB per entry. A peer whose fingerprint differs still answers with
        everything it knows.
        """
        return self._send(self._push_sample(), False, now)

    def receive(self, gossip: Gossip, now: float) -> list[Effect]:
        """Merges a peer's message and answers it when the views differ."""
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
            self.heard_full = True
        if after != before:
            return self._send(self._sample(), True, now)
        if after != gossip.fingerprint:
            return self._send([gossip.sender], True, now)
        return []

    def has_peers(self) -> bool:
        """Tells whether any other entry is known or configured."""
        return bool(self._candidates())

    def _sample(self) -> list[str]:
        peers = self._candidates()
        count = min(len(peers), self.options.gossip_fanout)
        return self.rng.sample(peers, count)

    def _push_sample(self) -> list[str]:
        peers = self._candidates()
        return self.rng.sample(peers, min(len(peers), MAX_PUSH_FANOUT))

    def _candidates(self) -> list[str]:
        addresses = self.directory.entry_addresses()
        addresses.update(self.options.seeds)
        addresses.discard(self.me.address)
        return sorted(addresses)

    def _send(
        self, addresses: list[str], full: bool, now: float
    ) -> list[Effect]:
        self.heartbeat += 1
        self.directory.merge_entry(self.describe(), now)
        message = self._message(full)
        return [SendPeer(address, message) for address in addresses]

    def describe(self) -> EntryInfo:
        """This entry as its peers see it."""
        return EntryInfo(
            self.me,
            self.heartbeat,
            self.options.weight,
            self.draining,
            self.configuration_version,
        )

    def _message(self, full: bool) -> Gossip:
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
