"""Events that `EntryCore` handles and the effects that it returns."""

from typing import Any

import attrs

from anvilford.model import AttemptOutcome
from anvilford.model import EncodedAnswer
from anvilford.model import Incarnation
from anvilford.model import JobSpec
from anvilford.model import SubmissionId
from anvilford.protocol import Mark
from anvilford.protocol import Message
from anvilford.protocol import RequestKind
from anvilford.protocol import VmInfo
from anvilford.scheduling import CancelAttempt
from anvilford.scheduling import StartAttempt


@attrs.frozen
class SubmissionRequested:
    """A caller, or a peer that forwards its request, sent a request.

    Attributes:
        request_id: Identifies the waiting requester; chosen by the runtime.
        caller: Name of the authenticated caller.
        submission_id: Submission that the request is about.
        kind: Submit, status or cancel.
        job: Parsed and validated job if `kind` is SUBMIT, otherwise None.
        body: Encoded job as received, to be forwarded unchanged.
        deadline_ms: Time left until the caller's deadline, in milliseconds.
        hops: How often the request has been forwarded.
        traceparent: W3C trace context; empty if there is none.
    """

    request_id: str
    caller: str
    submission_id: SubmissionId
    kind: RequestKind
    job: JobSpec | None = None
    body: bytes = b""
    deadline_ms: int = 0
    hops: int = 0
    traceparent: str = ""


@attrs.frozen
class RequesterGone:
    """A requester stopped waiting, so no answer is sent to it."""

    request_id: str


@attrs.frozen
class AttemptFinished:
    """The call to a target that runs one attempt of a task ended.

    Attributes:
        attempt_id: Id of the attempt.
        target_id: VM id of the target.
        outcome: Whether the task succeeded, failed, did not start, or may have
            run.
    """

    attempt_id: str
    target_id: str
    outcome: AttemptOutcome


@attrs.frozen
class ForwardCall:
    """Identifies the call that forwards a request.

    Attributes:
        request_id: Id of the forwarded request at this entry.
    """

    request_id: str


@attrs.frozen
class HandoverCall:
    """Identifies the call that sends one handover message.

    Attributes:
        number: Number of the call, counted from 1 over all peers.
    """

    number: int


@attrs.frozen
class ConfigurationCall:
    """Identifies the call that requests a peer's configuration.

    Attributes:
        address: Address of the peer.
    """

    address: str


PeerCall = ForwardCall | HandoverCall | ConfigurationCall


@attrs.frozen
class PeerReplied:
    """A peer replied to a call.

    Attributes:
        call: Identity of the call.
        message: The reply.
    """

    call: PeerCall
    message: Message


@attrs.frozen
class PeerFailed:
    """A call ended without a reply: refused, disconnected or timed out.

    Attributes:
        call: Identity of the call.
    """

    call: PeerCall


@attrs.frozen
class PeerMessage:
    """A peer sent a message.

    Attributes:
        sender: Incarnation of the authenticated peer.
        message: Received message.
        request_id: Identifies the peer as a requester of a reply.
    """

    sender: Incarnation
    message: Message
    request_id: str = ""


@attrs.frozen
class VmListReceived:
    """The platform's VM list was read.

    Attributes:
        revision: Revision of the list.
        vms: All VMs on the list.
    """

    revision: int
    vms: tuple[VmInfo, ...]


@attrs.frozen
class ConfigurationReceived:
    """The platform's configuration row was read.

    Attributes:
        version: Version of the row; 0 if the row does not exist.
        row: JSON value of the row; empty if the row does not exist.
    """

    version: int
    row: dict[str, Any]


@attrs.frozen
class MarksReceived:
    """The platform's row of operator marks was read.

    Attributes:
        version: Version of the row; 0 if the row does not exist.
        marks: Marks stored in the row.
    """

    version: int
    marks: tuple[Mark, ...]


@attrs.frozen
class TargetMarked:
    """An operator drained or resumed a target.

    Attributes:
        vm_id: VM id of the target.
        drained: True to stop new work on the target, False to resume it.
    """

    vm_id: str
    drained: bool


@attrs.frozen
class DrainRequested:
    """The process was asked to stop as planned."""


@attrs.frozen
class Tick:
    """The time returned by `EntryCore.next_wakeup` has been reached."""


Event = (
    SubmissionRequested
    | RequesterGone
    | AttemptFinished
    | PeerReplied
    | PeerFailed
    | PeerMessage
    | VmListReceived
    | ConfigurationReceived
    | MarksReceived
    | TargetMarked
    | DrainRequested
    | Tick
)


@attrs.frozen
class RunAttempt:
    """Send a task to a target.

    Attributes:
        start: Attempt that the dispatcher has already recorded as started.
        traceparent: W3C trace context of the request that submitted the job.
    """

    start: StartAttempt
    traceparent: str


@attrs.frozen
class StopAttempt:
    """Ask a target to cancel an attempt.

    Attributes:
        cancel: Attempt to cancel, with the target that runs it.
    """

    cancel: CancelAttempt


@attrs.frozen
class Respond:
    """Send the answer to a waiting requester.

    Attributes:
        request_id: Identifies the requester.
        answer: Encoded answer.
    """

    request_id: str
    answer: EncodedAnswer


@attrs.frozen
class CallPeer:
    """Send a request to a peer.

    The runtime reports its end as `PeerReplied` or `PeerFailed`.

    Attributes:
        call: Identity of the call, returned in the event that ends it.
        address: Address of the peer.
        message: Request to send.
        timeout: Longest wait for the reply, in seconds.
    """

    call: PeerCall
    address: str
    message: Message
    timeout: float


@attrs.frozen
class SendToPeer:
    """Send a one-way message to a peer; it may be lost.

    Attributes:
        address: Address of the peer.
        message: Message to send.
    """

    address: str
    message: Message


@attrs.frozen
class ReplyToPeer:
    """Reply to a peer's request.

    Attributes:
        request_id: Id from the `PeerMessage` event of the request.
        message: The reply.
    """

    request_id: str
    message: Message


@attrs.frozen
class ReadMarks:
    """Read the row of operator marks from the platform's table now."""


@attrs.frozen
class WriteMarks:
    """Replace the row of operator marks, then read it again.

    Attributes:
        expected_version: Version that the row must have for the write to
            succeed; 0 creates the row.
        marks: Marks that replace those in the row.
    """

    expected_version: int
    marks: tuple[Mark, ...]


@attrs.frozen
class IncrementCounter:
    """Increment a metric counter.

    Attributes:
        name: Name of the counter.
        labels: Pairs of label name and value.
        amount: Added to the counter.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    amount: int = 1


@attrs.frozen
class LogChange:
    """Log a change of state at level INFO.

    Attributes:
        message: Text of the log line.
        fields: Pairs of name and value of the line's extra fields.
    """

    message: str
    fields: tuple[tuple[str, Any], ...] = ()


@attrs.frozen
class Stopped:
    """The planned stop is complete; the process may exit."""


Effect = (
    RunAttempt
    | StopAttempt
    | Respond
    | CallPeer
    | SendToPeer
    | ReplyToPeer
    | ReadMarks
    | WriteMarks
    | IncrementCounter
    | LogChange
    | Stopped
)
