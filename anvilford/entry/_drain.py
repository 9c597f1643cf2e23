"""Planned stop of an entry: notice, finish, hand over, stop."""

from anvilford.entry._events import Count
from anvilford.entry._events import Effect
from anvilford.entry._events import HandoverCall
from anvilford.entry._events import LogChange
from anvilford.entry._events import Stopped
from anvilford.entry._gossip import Gossiper
from anvilford.entry._handover import Handover
from anvilford.entry._handover import handover_messages
from anvilford.entry._options import CoreOptions
from anvilford.entry._requests import Requests
from anvilford.protocol import Successor

RESUME_GRACE_S = 0.25


class Drain:
    """State machine of a planned stop.

    Attributes:
        options: Notice period and timeouts.
        requests: Submissions that must finish first.
        gossiper: Tells peers about the stop and the successor.
        started_at: Loop time of the stop request, or None before it.
        resumes_at: Loop time before which the stop does not move on.
        handover: Transfer of finished outcomes once nothing is in flight.
        stopped: True when the process may exit.
    """

    def __init__(
        self, options: CoreOptions, requests: Requests, gossiper: Gossiper
    ):
        self.options = options
        self.requests = requests
        self.gossiper = gossiper
        self.started_at: float | None = None
        self.resumes_at = 0.0
        self.handover: Handover | None = None
        self.stopped = False
        self._advanced_at = float("-inf")

    def start(self, now: float) -> list[Effect]:
        """Begins the notice period; later calls change nothing."""
        if self.started_at is not None:
            return []
        self.started_at = now
        self.gossiper.draining = True
        return [LogChange("draining"), *self.gossiper.push_entries(now)]

    def observe_pause(self, pause: float, now: float) -> None:
        """Excludes a pause of this process from the planned stop.

        Requests that arrived during the pause are still unread when it ends,
        so the notice period grows by the pause and nothing else moves on until
        they had time to be read.
        """
        if self.started_at is not None:
            self.started_at += pause
            self.resumes_at = now + RESUME_GRACE_S

    def receive(self, call: HandoverCall, accepted: bool) -> list[Effect]:
        """Continues the transfer after a reply or a failed call."""
        return self.handover.receive(call, accepted)

    def next_wakeup(self) -> float | None:
        """Loop time at which the stop may move on by itself."""
        if self.started_at is None or self.stopped:
            return None
        notice_ends = self.started_at + self.options.drain_notice
        pending = max(notice_ends, self.resumes_at)
        return None if pending <= self._advanced_at else pending

    def advance(self, now: float) -> list[Effect]:
        """Moves on to the next stage when the present one is over."""
        if self.started_at is None or self.stopped:
            return []
        self._advanced_at = now
        if now < self.started_at + self.options.drain_notice:
            return []
        if now < self.resumes_at:
            return []
        self.requests.refusing = True
        effects: list[Effect] = []
        if self.handover is None:
            if self.requests.ledger.store.in_flight:
                return []
            self.handover = Handover(
                handover_messages(
                    self.requests.ledger, self.requests.adoptions
                ),
                self._candidates(now),
                self.options.handover_timeout,
            )
            effects = self.handover.start()
        if not self.handover.finished:
            return effects
        # Callers may still wait for forwards that began during the handover.
        self.requests.closing = True
        if self.requests.forwards:
            return effects
        return effects + self._stop(now)

    def _candidates(self, now: float) -> list[str]:
        """Live peers in random order, those of the own zone first.

        With a fixed order all stopping entries would load the same peer.
        """
        me = self.gossiper.me
        live = self.gossiper.directory.live_entries(
            now, self.options.suspect_after
        )
        peers = [e for e in live if e.incarnation != me and not e.draining]
        self.gossiper.rng.shuffle(peers)
        peers.sort(key=lambda e: e.incarnation.zone != me.zone)
        return [entry.incarnation.address for entry in peers]

    def _stop(self, now: float) -> list[Effect]:
        self.stopped = True
        effects: list[Effect] = []
        directory = self.gossiper.directory
        store = self.requests.ledger.store
        if self.handover.holder:
            holder = directory.newest_incarnation(self.handover.holder)
            directory.merge_successor(
                Successor(self.gossiper.me, holder, counter=1, sealed=True)
            )
            effects += self.gossiper.push(now)
        elif store.next_sequence:
            lost = len(store.finished_sequences)
            effects.append(Count("handover_records_lost", amount=lost))
            effects.append(LogChange("handover_failed", (("records", lost),)))
        return [*effects, LogChange("stopped"), Stopped()]
