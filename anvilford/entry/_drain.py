"""Planned stop of an entry: notice period, drain, handover, exit."""

from anvilford.entry._events import Effect
from anvilford.entry._events import HandoverCall
from anvilford.entry._events import IncrementCounter
from anvilford.entry._events import LogChange
from anvilford.entry._events import Stopped
from anvilford.entry._gossip import Gossiper
from anvilford.entry._handover import build_handover_messages
from anvilford.entry._handover import Handover
from anvilford.entry._options import CoreOptions
from anvilford.entry._requests import SubmissionRequests
from anvilford.protocol import Successor

# After a pause of this process, a planned stop continues only after this time.
# In it, the requests that arrived during the pause are read.
RESUME_GRACE_S = 0.25


class Drain:
    """State machine of a planned stop.

    The entry announces the stop to its peers and serves requests as before for
    the notice period. It then refuses new jobs, waits until no submission is
    in flight, hands its records over to a peer, refuses to forward requests,
    waits for the forwards that are open, and stops.

    Attributes:
        options: Notice period and timeouts.
        requests: Submissions and forwards that must finish before the stop.
        gossiper: Announces the stop and the successor to peers.
        started_at: Loop time of the stop request in seconds, moved forward by
            each pause; None before the request.
        resumes_at: Loop time in seconds before which the stop does not
            advance; set by `extend_for_pause`.
        handover: Transfer of finished outcomes; None while submissions are in
            flight.
        stopped: True when the process may exit.
    """

    def __init__(
        self,
        options: CoreOptions,
        requests: SubmissionRequests,
        gossiper: Gossiper,
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
        """Begins the notice period; further calls have no effect."""
        if self.started_at is not None:
            return []
        self.started_at = now
        self.gossiper.draining = True
        return [LogChange("draining"), *self.gossiper.push_entry_states(now)]

    def extend_for_pause(self, pause: float, now: float) -> None:
        """Excludes a pause of this process from the planned stop.

        Requests that arrived during the pause are still unread when it ends.
        The notice period is therefore extended by the pause, and the stop does
        not advance for another `RESUME_GRACE_S`, in which they are read.

        Args:
            pause: Length of the pause in seconds.
            now: Loop time at the end of the pause, in seconds.
        """
        if self.started_at is not None:
            self.started_at += pause
            self.resumes_at = now + RESUME_GRACE_S

    def receive_reply(self, call: HandoverCall, accepted: bool) -> list[Effect]:
        """Continues the handover after a reply or a failed call.

        Args:
            call: Handover call that ended.
            accepted: Whether the peer stored the message; False if the call
                failed.
        """
        return self.handover.receive_reply(call, accepted)

    def next_wakeup(self) -> float | None:
        """Returns the loop time at which the stop advances without an event.

        Returns:
            Loop time in seconds, or None if only an event can advance it.
        """
        if self.started_at is None or self.stopped:
            return None
        notice_ends = self.started_at + self.options.drain_notice
        next_stage_at = max(notice_ends, self.resumes_at)
        return None if next_stage_at <= self._advanced_at else next_stage_at

    def advance(self, now: float) -> list[Effect]:
        """Enters the next stage when the current one is over.

        Args:
            now: Loop time in seconds.
        """
        if self.started_at is None or self.stopped:
            return []
        self._advanced_at = now
        if now < self.started_at + self.options.drain_notice:
            return []
        if now < self.resumes_at:
            return []
        self.requests.refuses_jobs = True
        effects: list[Effect] = []
        if self.handover is None:
            if self.requests.ledger.store.in_flight:
                return []
            self.handover = Handover(
                build_handover_messages(
                    self.requests.ledger, self.requests.adoptions
                ),
                self._list_candidates(now),
                self.options.handover_timeout,
            )
            effects = self.handover.start_transfer()
        if not self.handover.finished:
            return effects
        # Forwards that began during the handover may still be open, and their
        # callers must get an answer before the process exits.
        self.requests.refuses_forwards = True
        if self.requests.forwards:
            return effects
        return effects + self._finish_stop(now)

    def _list_candidates(self, now: float) -> list[str]:
        """Lists the addresses of live peers that are not draining.

        Peers in the entry's own zone come first; within a zone the order is
        random. With a fixed order, all stopping entries would hand their
        records over to the same peer.
        """
        me = self.gossiper.me
        live = self.gossiper.directory.live_entries(
            now, self.options.suspect_after
        )
        peers = [e for e in live if e.incarnation != me and not e.draining]
        self.gossiper.rng.shuffle(peers)
        peers.sort(key=lambda e: e.incarnation.zone != me.zone)
        return [entry.incarnation.address for entry in peers]

    def _finish_stop(self, now: float) -> list[Effect]:
        self.stopped = True
        effects: list[Effect] = []
        directory = self.gossiper.directory
        store = self.requests.ledger.store
        if self.handover.holder:
            holder = directory.newest_incarnation(self.handover.holder)
            directory.merge_successor(
                Successor(self.gossiper.me, holder, counter=1, sealed=True)
            )
            effects += self.gossiper.push_full_state(now)
        elif store.next_sequence:
            lost_records = len(store.finished_sequences)
            effects.append(
                IncrementCounter("handover_records_lost", amount=lost_records)
            )
            effects.append(
                LogChange("handover_failed", (("records", lost_records),))
            )
        return [*effects, LogChange("stopped"), Stopped()]
