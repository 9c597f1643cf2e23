"""Submit, status and cancel requests: answered here or forwarded."""

import attrs

from anvilford.entry._events import CallPeer
from anvilford.entry._events import Effect
from anvilford.entry._events import ForwardCall
from anvilford.entry._events import IncrementCounter
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

# Added to the caller's remaining time for the timeout of a forward, so that the
# answer that the owner sends at the deadline still arrives.
FORWARD_GRACE_S = 0.5
# Each check visits all forwards, so it does not run on every event.
FORWARD_CHECK_INTERVAL_S = 0.1
# Timeout of forwarded status and cancel requests, which the owner answers
# without waiting for the job's deadline.
STATUS_FORWARD_TIMEOUT_S = 2.0


@attrs.frozen
class Forward:
    """A forwarded request that awaits its reply.

    Attributes:
        owner_token: Token of the incarnation that owns the submission.
        address: Address of the peer that the request was sent to.
        expires_at: Loop time in seconds at which the requester is answered
            that the outcome is unknown.
    """

    owner_token: str
    address: str
    expires_at: float


class SubmissionRequests:
    """Serves requests about submissions and tracks waiting requesters.

    Attributes:
        me: Incarnation of this process.
        options: Limits and timeouts.
        directory: Known entries and successors of stopped entries.
        ledger: Submissions that this process owns.
        adoptions: Records of stopped daemons that this process adopted.
        waiters: Ids of the requests that wait for the answer to a submission
            in flight, by the submission's sequence number.
        forwards: Forwarded requests without a reply, by request id.
        refuses_jobs: True once a planned stop accepts no new jobs; set by
            `Drain`.
        refuses_forwards: True once a planned stop forwards no more requests;
            set by `Drain`.
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
        self.refuses_jobs = False
        self.refuses_forwards = False
        self._next_forward_check = 0.0

    def serve(
        self, request: SubmissionRequested, now: float
    ) -> tuple[bool, list[Effect]]:
        """Answers a request, adds its requester as a waiter, or forwards it.

        Args:
            request: Request of a caller or a peer.
            now: Loop time in seconds.

        Returns:
            Whether the job is new and must be dispatched, and the effects. The
            requester of a new job has been added as a waiter.
        """
        if request.submission_id.owner == self.me:
            if request.kind is RequestKind.SUBMIT:
                return self._submit(request)
            return False, self._serve_status_or_cancel(request)
        return False, self._serve_other_owner(request, now)

    def _submit(
        self, request: SubmissionRequested
    ) -> tuple[bool, list[Effect]]:
        sid, caller = request.submission_id, request.caller
        if self.refuses_jobs and isinstance(
            self.ledger.lookup(sid, caller), Unsubmitted
        ):
            # The refusal needs no record in the ledger: no job starts once
            # `refuses_jobs` is set, so a repeated request is refused again.
            return False, respond(request, NotRun(RefusalReason.DRAINING))
        match self.ledger.submit(sid, caller, request.job.digest):
            case Accepted():
                self._add_waiter(request)
                return True, []
            case InFlight():
                self._add_waiter(request)
                return False, [
                    IncrementCounter("resubmissions", (("state", "joined"),))
                ]
            case Finished(answer):
                return False, [
                    IncrementCounter("resubmissions", (("state", "finished"),)),
                    Respond(request.request_id, answer),
                ]
            case Rejected(answer):
                return False, respond(request, answer)

    def _add_waiter(self, request: SubmissionRequested) -> None:
        sequence = request.submission_id.sequence
        self.waiters.setdefault(sequence, []).append(request.request_id)

    def _serve_status_or_cancel(
        self, request: SubmissionRequested
    ) -> list[Effect]:
        """Serves a status or cancel request about an own submission.

        The requester of a cancellation waits for the final answer of a job in
        flight. Cancelling the job itself is left to `EntryCore`.
        """
        sid, caller = request.submission_id, request.caller
        is_cancel = request.kind is RequestKind.CANCEL
        match self.ledger.lookup(sid, caller):
            case InFlight() if is_cancel:
                self._add_waiter(request)
                return []
            case InFlight():
                return respond(request, Pending())
            case Finished(answer):
                return [Respond(request.request_id, answer)]
            case Rejected(answer):
                return respond(request, answer)
            case Unsubmitted() if is_cancel:
                # A delayed submission under this id must not run once the
                # caller has been told that it is cancelled.
                answer = encode_answer(NotRun(RefusalReason.CANCELLED))
                self.ledger.close_unused(sid, caller, answer)
                return [Respond(request.request_id, answer)]
            case Unsubmitted():
                return respond(request, Pending(submitted=False))

    def may_cancel(self, submission_id: SubmissionId, caller: str) -> bool:
        """Returns whether a caller may cancel a submission in flight here.

        Args:
            submission_id: Submission to cancel.
            caller: Authenticated caller of the request; it must be the one
                that the id was issued to.
        """
        if submission_id.owner != self.me:
            return False
        return isinstance(self.ledger.lookup(submission_id, caller), InFlight)

    def settle(
        self, sequence: int, answer: Complete | Failed | NotRun
    ) -> list[Effect]:
        """Stores the final answer of a job and sends it to the waiters.

        An answer that the job was not run gets a new submission id, under
        which the caller may retry, unless the entry is stopping.

        Args:
            sequence: Sequence number of the job's submission id.
            answer: Final answer.
        """
        if isinstance(answer, NotRun) and not self.refuses_jobs:
            caller = self.ledger.store.records[sequence].caller
            retry_id = self.ledger.issue(caller)[0]
            answer = attrs.evolve(answer, retry_id=str(retry_id))
        encoded = encode_answer(answer)
        self.ledger.settle(sequence, encoded)
        reason = str(getattr(answer, "reason", ""))
        labels = (("outcome", encoded.kind), ("reason", reason))
        return [
            IncrementCounter("jobs_finished", labels),
            *(
                Respond(request_id, encoded)
                for request_id in self.waiters.pop(sequence, ())
            ),
        ]

    def remove_requester(self, request_id: str) -> None:
        """Removes a requester that no longer waits for its answer."""
        self.forwards.pop(request_id, None)
        for waiting in self.waiters.values():
            if request_id in waiting:
                waiting.remove(request_id)

    def _serve_other_owner(
        self, request: SubmissionRequested, now: float
    ) -> list[Effect]:
        """Serves a request about a submission that another process owns.

        It is answered from adopted records if there are any of its owner, and
        otherwise forwarded to the owner or its successor.
        """
        digest = request.job.digest if request.job else ""
        adopted = self.adoptions.answer(
            request.submission_id, request.caller, digest
        )
        match adopted:
            case None:
                address_or_reason = self._find_owner_address(request, now)
            case Finished(answer):
                return [
                    IncrementCounter("handed_over_answers"),
                    Respond(request.request_id, answer),
                ]
            case answer:
                return respond(request, answer)
        if isinstance(address_or_reason, UnknownReason):
            return [
                IncrementCounter(
                    "outcome_unknown", (("reason", str(address_or_reason)),)
                ),
                *respond(request, OutcomeUnknown(address_or_reason)),
            ]
        return self._forward(request, address_or_reason, now)

    def _find_owner_address(
        self, request: SubmissionRequested, now: float
    ) -> str | UnknownReason:
        """Finds the peer that can answer for a submission of another process.

        Args:
            request: Request about a submission that this process does not own
                and whose records it has not adopted.
            now: Loop time in seconds.

        Returns:
            Address of the owner or of its successor, or the reason for which
            the outcome is unknown.
        """
        owner = request.submission_id.owner
        if self.refuses_forwards:
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
        # The address in an id comes from the caller, so it is used only if it
        # is the address of a known entry. Otherwise a caller could make this
        # process connect to any address.
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
        timeout = STATUS_FORWARD_TIMEOUT_S
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
            IncrementCounter(
                "forwards", (("kind", request.kind.name.lower()),)
            ),
            CallPeer(call, address, message, timeout),
        ]

    def receive_reply(
        self, call: ForwardCall, message: Message | None
    ) -> list[Effect]:
        """Sends the reply to a forwarded request to its requester.

        Args:
            call: Call that forwarded the request.
            message: Reply, or None if the call failed; the requester is then
                answered that the outcome is unknown.
        """
        if self.forwards.pop(call.request_id, None) is None:
            return []
        if isinstance(message, ForwardReply):
            return [Respond(call.request_id, message.answer)]
        return self._unreachable(call.request_id)

    def advance(self, now: float) -> list[Effect]:
        """Ends forwards that have expired or whose peer became suspect.

        Args:
            now: Loop time in seconds.
        """
        effects: list[Effect] = []
        if not self.forwards or now < self._next_forward_check:
            return effects
        self._next_forward_check = now + FORWARD_CHECK_INTERVAL_S
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
        """Returns the loop time of the next check of the forwards.

        Returns:
            Loop time in seconds, or None if no forward is open.
        """
        return self._next_forward_check if self.forwards else None

    def _unreachable(self, request_id: str) -> list[Effect]:
        reason = UnknownReason.OWNER_UNREACHABLE
        return [
            IncrementCounter("outcome_unknown", (("reason", str(reason)),)),
            Respond(request_id, encode_answer(OutcomeUnknown(reason))),
        ]


def respond(request: SubmissionRequested, answer: Answer) -> list[Effect]:
    """Counts and sends an answer that is not stored in the ledger."""
    encoded: EncodedAnswer = encode_answer(answer)
    return [
        IncrementCounter("requests_answered", (("outcome", encoded.kind),)),
        Respond(request.request_id, encoded),
    ]
