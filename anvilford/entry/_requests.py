"""Requests for submissions: answered here or forwarded to the owner."""

import attrs

from anvilford.entry._events import CallPeer
from anvilford.entry._events import Count
from anvilford.entry._events import Effect
from anvilford.entry._events import ForwardCall
from anvilford.entry._events import Respond
from anvilford.entry._events import SubmissionRequested
from anvilford.entry._options import CoreOptions
from anvilford.membership import MembershipDirectory
from anvilford.model import Answer
from anvilford.model import Complete
from anvilford.model import encode_answer
from anvilford.model import EncodedAnswer
from anvilford.model import Failed
from anvilford.model import Incarnation
from anvilford.model import NotRun
from anvilford.model import OutcomeUnknown
from anvilford.model import Pending
from anvilford.model import RefusalReason
from anvilford.model import SubmissionId
from anvilford.model import UnknownReason
from anvilford.protocol import ForwardReply
from anvilford.protocol import ForwardSubmission
from anvilford.protocol import Message
from anvilford.protocol import RequestKind
from anvilford.submissions import Accepted
from anvilford.submissions import AdoptedRecords
from anvilford.submissions import Finished
from anvilford.submissions import InFlight
from anvilford.submissions import Ledger
from anvilford.submissions import Rejected
from anvilford.submissions import Unsubmitted

# Added to the caller's remaining time, so that the owner's own answer at the
# deadline arrives before the forward times out.
FORWARD_GRACE_S = 0.5
# Forwards are checked all together, so not on every event.
FORWARD_CHECK_S = 0.1
# Status and cancel are answered by the owner at once.
SHORT_FORWARD_S = 2.0


@attrs.frozen
class Forward:
    """A forwarded request that awaits its reply.

    Attributes:
        owner_token: Incarnation that the id belongs to.
        address: Peer address that it was sent to.
        expires_at: Loop time after which the outcome is unknown.
    """

    owner_token: str
    address: str
    expires_at: float


class Requests:
    """Matches requesters with answers.

    Attributes:
        me: This process.
        options: Limits and timeouts.
        directory: Known entries and handovers.
        ledger: Submissions owned by this process.
        adoptions: Outcomes of stopped daemons held here.
        waiters: Request ids that wait for a submission in flight, by sequence.
        forwards: Forwarded requests by request id.
        refusing: True once a planned stop accepts no new jobs.
        closing: True once a planned stop forwards nothing more.
    """

    def __init__(
        self,
        me: Incarnation,
        options: CoreOptions,
        directory: MembershipDirectory,
        ledger: Ledger,
    ):
        self.me = me
        self.options = options
        self.directory = directory
        self.ledger = ledger
        self.adoptions = AdoptedRecords(options.retention)
        self.waiters: dict[int, list[str]] = {}
        self.forwards: dict[str, Forward] = {}
        self.refusing = False
        self.closing = False
        self._next_check = 0.0

    def serve(
        self, request: SubmissionRequested, now: float
    ) -> tuple[bool, list[Effect]]:
        """Answers, parks or forwards a request.

        Returns:
            Whether the job must be dispatched now, and the effects. When it
            must, the requester is already parked as a waiter.
        """
        if request.submission_id.owner == self.me:
            if request.kind is RequestKind.SUBMIT:
                return self._submit(request)
            return False, self._inquire(request)
        return False, self._serve_foreign(request, now)

    def _submit(
        self, request: SubmissionRequested
    ) -> tuple[bool, list[Effect]]:
        sid, caller = request.submission_id, request.caller
        if self.refusing and isinstance(
            self.ledger.lookup(sid, caller), Unsubmitted
        ):
            # Nothing starts after refusing began, so no record is needed to
            # keep this answer true.
            return False, respond(request, NotRun(RefusalReason.DRAINING))
        match self.ledger.submit(sid, caller, request.job.digest):
            case Accepted():
                self._wait(request)
                return True, []
            case InFlight():
                self._wait(request)
                return False, [Count("resubmissions", (("state", "joined"),))]
            case Finished(answer):
                return False, [
                    Count("resubmissions", (("state", "finished"),)),
                    Respond(request.request_id, answer),
                ]
            case Rejected(answer):
                return False, respond(request, answer)

    def _wait(self, request: SubmissionRequested) -> None:
        sequence = request.submission_id.sequence
        self.waiters.setdefault(sequence, []).append(request.request_id)

    def _inquire(self, request: SubmissionRequested) -> list[Effect]:
        sid, caller = request.submission_id, request.caller
        is_cancel = request.kind is RequestKind.CANCEL
        match self.ledger.lookup(sid, caller):
            case InFlight() if is_cancel:
                self._wait(request)
                return []
            case InFlight():
                return respond(request, Pending())
            case Finished(answer):
                return [Respond(request.request_id, answer)]
            case Rejected(answer):
                return respond(request, answer)
            case Unsubmitted() if is_cancel:
                # A delayed submission must not run after the caller was told
                # that it is cancelled.
                answer = encode_answer(NotRun(RefusalReason.CANCELLED))
                self.ledger.close_unused(sid, caller, answer)
                return [Respond(request.request_id, answer)]
            case Unsubmitted():
                return respond(request, Pending(submitted=False))

    def may_cancel(self, submission_id: SubmissionId, caller: str) -> bool:
        """Tells whether a caller's own submission is in flight here."""
        if submission_id.owner != self.me:
            return False
        return isinstance(self.ledger.lookup(submission_id, caller), InFlight)

    def settle(
        self, sequence: int, answer: Complete | Failed | NotRun
    ) -> list[Effect]:
        """Stores the final answer of an own job and answers its waiters."""
        if isinstance(answer, NotRun) and not self.refusing:
            caller = self.ledger.store.records[sequence].caller
            retry_id = self.ledger.issue(caller)[0]
            answer = attrs.evolve(answer, retry_id=str(retry_id))
        encoded = encode_answer(answer)
        self.ledger.settle(sequence, encoded)
        reason = str(getattr(answer, "reason", ""))
        labels = (("outcome", encoded.kind), ("reason", reason))
        return [
            Count("jobs_finished", labels),
            *(
                Respond(request_id, encoded)
                for request_id in self.waiters.pop(sequence, ())
            ),
        ]

    def abandon(self, request_id: str) -> None:
        """Forgets a requester that no longer waits."""
        self.forwards.pop(request_id, None)
        for waiting in self.waiters.values():
            if request_id in waiting:
                waiting.remove(request_id)

    def _serve_foreign(
        self, request: SubmissionRequested, now: float
    ) -> list[Effect]:
        digest = request.job.digest if request.job else ""
        adopted = self.adoptions.answer(
            request.submission_id, request.caller, digest
        )
        match adopted:
            case None:
                route = self._route(request, now)
            case Finished(answer):
                return [
                    Count("handed_over_answers"),
                    Respond(request.request_id, answer),
                ]
            case answer:
                return respond(request, answer)
        if isinstance(route, UnknownReason):
            return [
                Count("outcome_unknown", (("reason", str(route)),)),
                *respond(request, OutcomeUnknown(route)),
            ]
        return self._forward(request, route, now)

    def _route(
        self, request: SubmissionRequested, now: float
    ) -> str | UnknownReason:
        """Finds the peer address that can answer for a foreign id."""
        owner = request.submission_id.owner
        if self.closing:
            return UnknownReason.ENTRY_STOPPING
        if request.hops >= self.options.max_hops:
            return UnknownReason.OWNER_UNREACHABLE
        suspect_after = self.options.suspect_after
        successor = self.directory.successors.get(owner.token)
        if successor is not None and successor.holder != self.me:
            holder = successor.holder
            if self.directory.is_suspect(holder.token, now, suspect_after):
                return UnknownReason.OWNER_UNREACHABLE
            return holder.address
        newest = self.directory.newest_incarnation(owner.address)
        if owner.address == self.me.address or successor is not None:
            return UnknownReason.OWNER_GONE
        # Only listed entries are contacted: the address in an id comes from
        # the caller and must not make this process connect anywhere else.
        if owner.address not in self.directory.entry_addresses():
            return UnknownReason.OWNER_GONE
        if newest is not None and newest != owner:
            return UnknownReason.OWNER_GONE
        if newest is not None and self.directory.is_suspect(
            owner.token, now, suspect_after
        ):
            return UnknownReason.OWNER_UNREACHABLE
        return owner.address

    def _forward(
        self, request: SubmissionRequested, address: str, now: float
    ) -> list[Effect]:
        timeout = SHORT_FORWARD_S
        if request.kind is RequestKind.SUBMIT:
            timeout = request.deadline_ms / 1000 + FORWARD_GRACE_S
        message = ForwardSubmission(
            str(request.submission_id),
            request.caller,
            request.kind,
            request.body,
            request.deadline_ms,
            request.hops + 1,
            request.traceparent,
        )
        self.forwards[request.request_id] = Forward(
            request.submission_id.owner.token, address, now + timeout
        )
        call = ForwardCall(request.request_id)
        return [
            Count("forwards", (("kind", request.kind.name.lower()),)),
            CallPeer(call, address, message, timeout),
        ]

    def receive_reply(
        self, call: ForwardCall, message: Message | None
    ) -> list[Effect]:
        """Passes a forward's reply on; None stands for a failed call."""
        if self.forwards.pop(call.request_id, None) is None:
            return []
        if isinstance(message, ForwardReply):
            return [Respond(call.request_id, message.answer)]
        return self._unreachable(call.request_id)

    def advance(self, now: float) -> list[Effect]:
        """Ends forwards whose owner became suspect or whose time is over."""
        effects: list[Effect] = []
        if not self.forwards or now < self._next_check:
            return effects
        self._next_check = now + FORWARD_CHECK_S
        for request_id, forward in list(self.forwards.items()):
            newest = self.directory.newest_incarnation(forward.address)
            is_lost = newest is not None and self.directory.is_suspect(
                newest.token, now, self.options.suspect_after
            )
            if is_lost or now >= forward.expires_at:
                del self.forwards[request_id]
                effects += self._unreachable(request_id)
        return effects

    def next_wakeup(self) -> float | None:
        """Loop time at which the forwards must be checked."""
        return self._next_check if self.forwards else None

    def _unreachable(self, request_id: str) -> list[Effect]:
        reason = UnknownReason.OWNER_UNREACHABLE
        return [
            Count("outcome_unknown", (("reason", str(reason)),)),
            Respond(request_id, encode_answer(OutcomeUnknown(reason))),
        ]


def respond(request: SubmissionRequested, answer: Answer) -> list[Effect]:
    """Answers a request that needs no record."""
    encoded: EncodedAnswer = encode_answer(answer)
    return [
        Count("requests_answered", (("outcome", encoded.kind),)),
        Respond(request.request_id, encoded),
    ]
