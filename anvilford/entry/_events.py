"""Events that change the state of an entry, and the effects it asks for."""

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
    """A caller, or a peer on its behalf, asks for a submission.

    Attributes:
        request_id: Chosen by the runtime; names the waiting requester.
        caller: Authenticated caller.
        submission_id: Parsed id.
        kind: Submit, status or cancel.
        job: The checked job if `kind` is SUBMIT.
        body: The job as received, for a forward.
        deadline_ms: Time until the caller's deadline.
        hops: Forwards so far.
        traceparent: W3C trace context.
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
    """The requester stopped waiting; its answer is not needed."""

    request_id: str


@attrs.frozen
class AttemptFinished:
    """A call to a target is over."""

    attempt_id: str
    target_id: str
    outcome: AttemptOutcome


@attrs.frozen
class ForwardCall:
    """Identifies the reply to a forwarded request."""

    request_id: str


@attrs.frozen
class HandoverCall:
    """Identifies the reply to one handover message."""

    number: int


@attrs.frozen
class ConfigurationCall:
    """Identifies the reply to a configuration request."""

    address: str


PeerCall = ForwardCall | HandoverCall | ConfigurationCall


@attrs.frozen
class PeerReplied:
    """A peer answered a call."""

    call: PeerCall
    message: Message


@attrs.frozen
class PeerFailed:
    """A call had no reply: refused, lost or timed out."""

    call: PeerCall


@attrs.frozen
class PeerMessage:
    """A peer sent a message.

    Attributes:
        sender: The authenticated peer process.
        message: What it sent.
        request_id: Set when the peer expects a reply.
    """

    sender: Incarnation
    message: Message
    request_id: str = ""


@attrs.frozen
class VmListReceived:
    """The platform's VM list was read."""

    revision: int
    vms: tuple[VmInfo, ...]


@attrs.frozen
class ConfigurationReceived:
    """The platform's configuration row was read.

    Attributes:
        version: Version of the row; 0 if there is none.
        row: Value of the row.
    """

    version: int
    row: dict[str, Any]


@attrs.frozen
class MarksReceived:
    """The platform's row of operator marks was read.

    Attributes:
        version: Version of the row; 0 if there is none.
        marks: Marks in the row.
    """

    version: int
    marks: tuple[Mark, ...]


@attrs.frozen
class TargetMarked:
    """An operator drained or resumed a target."""

    vm_id: str
    drained: bool


@attrs.frozen
class DrainRequested:
    """A planned stop begins."""


@attrs.frozen
class Tick:
    """Time has passed."""


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
    """Send a task to a target; the start is already recorded."""

    start: StartAttempt
    traceparent: str


@attrs.frozen
class StopAttempt:
    """Ask a target to stop a task."""

    cancel: CancelAttempt


@attrs.frozen
class Respond:
    """Answer a requester."""

    request_id: str
    answer: EncodedAnswer


@attrs.frozen
class CallPeer:
    """Send a request to a peer; its reply or failure comes back as an event."""

    call: PeerCall
    address: str
    message: Message
    timeout: float


@attrs.frozen
class SendToPeer:
    """Send a one-way message, best effort."""

    address: str
    message: Message


@attrs.frozen
class ReplyToPeer:
    """Reply to a peer's request."""

    request_id: str
    message: Message


@attrs.frozen
class ReadMarks:
    """Read the row of operator marks now."""


@attrs.frozen
class WriteMarks:
    """Replace the row of operator marks, then read it again.

    Attributes:
        expected_version: Version that the row must have; 0 creates it.
        marks: New content.
    """

    expected_version: int
    marks: tuple[Mark, ...]


@attrs.frozen
class IncrementCounter:
    """Increment a counter."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    amount: int = 1


@attrs.frozen
class LogChange:
    """Log a change of state."""

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
