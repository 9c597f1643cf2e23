"""Messages between entry daemons, independent of their encoding."""

import enum

import attrs

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.model import EncodedAnswer
from anvilford.model import Incarnation
from anvilford.placement import CancelResult
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import TargetLoss


class VmRole(enum.IntEnum):
    """Role of a VM in the platform's VM list."""

    ENTRY = 1
    TARGET = 2


class VmState(enum.IntEnum):
    """Lifecycle state of a VM.

    States only advance: of two reports on one VM, the larger value wins.
    """

    LIVE = 1
    LEAVING = 2
    GONE = 3


class RequestKind(enum.IntEnum):
    """Operation that a caller requests for a submission."""

    SUBMIT = 1
    STATUS = 2
    CANCEL = 3


@attrs.frozen
class Hello:
    """First message on a connection; authenticates the connecting process.

    Attributes:
        token: Secret shared by all entry daemons.
        sender: The connecting process.
    """

    token: str
    sender: Incarnation


@attrs.frozen
class ForwardSubmission:
    """A caller's request, forwarded to the entry that can answer it.

    Attributes:
        submission_id: Id of the submission in its textual form.
        caller: Authenticated name of the caller.
        kind: Requested operation: submit, status or cancel.
        job: Job as JSON text; empty unless `kind` is SUBMIT.
        deadline_ms: Time left until the caller's deadline, in milliseconds.
        hops: Number of times that the request was forwarded, which bounds
            forwarding loops.
        traceparent: W3C trace context of the request; empty if there is none.
    """

    submission_id: str
    caller: str
    kind: RequestKind
    job: bytes
    deadline_ms: int
    hops: int
    traceparent: str = ""


@attrs.frozen
class ForwardReply:
    """Reply to `ForwardSubmission`.

    Attributes:
        answer: Answer for the caller.
    """

    answer: EncodedAnswer


@attrs.frozen
class VmInfo:
    """One VM, as the platform lists it or a peer reports it.

    Attributes:
        vm_id: Id assigned by the platform; a replacement VM has a new id.
        role: Entry or target.
        zone: Availability zone.
        address: "IP:port"; for an entry, the address that peers connect to.
        service: Service that a target runs; empty for an entry.
        state: Latest state known to the sender.
    """

    vm_id: str
    role: VmRole
    zone: str
    address: str
    service: str
    state: VmState


@attrs.frozen
class Mark:
    """An operator's order to drain or resume one target.

    Of two marks on one target, the one with the larger (counter, author) wins.

    Attributes:
        vm_id: Id of the target's VM.
        drained: True after `drain`, False after `resume`.
        counter: Larger than the counter of every mark that the author knew.
        author: Token of the entry incarnation that received the operator's
            request.
    """

    vm_id: str
    drained: bool
    counter: int
    author: str


@attrs.frozen
class Successor:
    """Records which entry holds the finished submissions of a stopped daemon.

    Attributes:
        owner: The stopped daemon.
        holder: The entry that received its records.
        counter: Number of times that these records were handed over.
        sealed: True if all records were handed over. A sealed successor wins
            over one that is not; among equals the larger counter wins.
    """

    owner: Incarnation
    holder: Incarnation
    counter: int
    sealed: bool


@attrs.frozen
class EntryInfo:
    """State that an entry daemon publishes about itself through gossip.

    Attributes:
        incarnation: The process.
        heartbeat: Counter that the process increments while it is alive. Of
            two infos on one process, the larger heartbeat is the newer.
        weight: Size of the VM relative to the other entries.
        draining: True once a planned stop of the daemon has begun.
        configuration_version: Version of the configuration in force at the
            daemon; 0 if it has none.
    """

    incarnation: Incarnation
    heartbeat: int
    weight: float
    draining: bool
    configuration_version: int


@attrs.frozen
class Gossip:
    """Periodic message with the membership state of an entry.

    A receiver whose own state has another fingerprint answers with its full
    state.

    Attributes:
        sender: Peer address of the sender, "IP:port", for the answer.
        entries: Known entry daemons with their heartbeats; always included.
        fingerprint: Digest of the sender's VMs, marks and successors.
        vms: Known VMs; empty unless `full`.
        marks: Operator marks on targets; empty unless `full`.
        successors: Known handovers; empty unless `full`.
        full: True if `vms`, `marks` and `successors` are included.
    """

    sender: str
    entries: tuple[EntryInfo, ...]
    fingerprint: bytes
    vms: tuple[VmInfo, ...] = ()
    marks: tuple[Mark, ...] = ()
    successors: tuple[Successor, ...] = ()
    full: bool = False


@attrs.frozen
class LoadReport:
    """Load of one entry on the targets of its zone.

    Attributes:
        sender: Token of the reporting incarnation.
        sequence: Number of the report, increasing; the receiver ignores
            reports with a lower number than one that it has received.
        backlog: Number of queued tasks.
        in_use: Most attempts running at once since the last report, by target
            id.
    """

    sender: str
    sequence: int
    backlog: int
    in_use: dict[str, int]


@attrs.frozen
class ConfigurationRequest:
    """Requests the configuration in force at the receiver."""


@attrs.frozen
class ConfigurationReply:
    """Reply to `ConfigurationRequest`.

    Attributes:
        version: Version of the configuration row in force; 0 if there is none.
        row: Value of the row as JSON text.
    """

    version: int
    row: bytes


@attrs.frozen
class HandoverRecord:
    """One finished submission of a stopping daemon.

    Attributes:
        sequence: Sequence number in the submission id.
        caller: Name of the caller that owns the submission.
        digest: Digest of the submitted job.
        answer: Final answer.
    """

    sequence: int
    caller: str
    digest: str
    answer: EncodedAnswer


@attrs.frozen
class HandoverChunk:
    """Part of the finished submissions of a stopping daemon.

    Attributes:
        owner: The daemon whose submissions they are.
        records: The submissions.
    """

    owner: Incarnation
    records: tuple[HandoverRecord, ...]


@attrs.frozen
class HandoverSeal:
    """Ends a handover, after its last chunk.

    Attributes:
        owner: The daemon whose records were handed over.
        floor: Submissions with a lower sequence and no record have expired.
        next_sequence: First sequence that the owner never issued.
        tag_key: Key that authenticates the tags in the owner's submission ids.
        counter: Number of times that these records were handed over, including
            this one.
        complete: False if the sender had received these records from another
            daemon in a handover that was not complete.
    """

    owner: Incarnation
    floor: int
    next_sequence: int
    tag_key: bytes
    counter: int
    complete: bool


@attrs.frozen
class HandoverAck:
    """Reply to `HandoverChunk` and `HandoverSeal`.

    Attributes:
        accepted: False if the receiver is itself stopping or has no room for
            the records.
    """

    accepted: bool


@attrs.frozen
class WithdrawJob:
    """Tells the leader that an entry no longer waits for a job it offered.

    Attributes:
        job_id: Id of the job.
        entry: Name of the member that offered the job.
    """

    job_id: str
    entry: str


@attrs.frozen
class EvacuatedZone:
    """A zone whose evacuation the operator requests.

    Attributes:
        zone: The zone.
        row_version: Version of the row that requests it.
    """

    zone: str
    row_version: int


@attrs.frozen
class EvacuationReport:
    """All evacuated zones that a member knows.

    Attributes:
        as_of: Version of the store up to which no zone is missing: a row of
            this or a lower version for another zone has been removed.
        zones: The zones, each once.
    """

    as_of: int
    zones: tuple[EvacuatedZone, ...]


@attrs.frozen
class CancelJob:
    """Tells the leader that the caller of a job has cancelled it.

    Attributes:
        job_id: Id of the job.
    """

    job_id: str


@attrs.frozen
class CancelJobReply:
    """Reply to `CancelJob`.

    Attributes:
        result: What the leader knows of the job.
    """

    result: CancelResult


@attrs.frozen
class Heartbeat:
    """Tells the leader that a member is alive and waits for its jobs.

    Attributes:
        member: The sender.
        fence: Highest fencing token of any leader that the sender followed.
        members_digest: Digest of the member list that the sender has.
        answered_at: `HeartbeatReply.sent_at` of the last reply that the sender
            received from this leader; 0 if there is none. It proves that the
            sender followed the leader after that time.
        unanswered_jobs: Ids of jobs whose callers the sender has left without
            an answer, since its last heartbeat to this leader or, to a new
            one, lately. Another entry may offer them as new.
        number: Counts the heartbeats of the process. What the sender sent before
            is void once a later one was read.
        cancelled_jobs: Ids of jobs that callers of the sender have cancelled
            since its last heartbeat to this leader or, to a new one, of all
            that it knows to be cancelled.
        evacuations_digest: Digest of the evacuated zones that the sender knows;
            None from a build that knows none.
        evacuations: These zones, unless the leader is known to have the same.
    """

    member: Member
    fence: int
    members_digest: int = 0
    answered_at: float = 0.0
    unanswered_jobs: tuple[str, ...] = ()
    number: int = 0
    cancelled_jobs: tuple[str, ...] = ()
    evacuations_digest: int | None = None
    evacuations: EvacuationReport | None = None


@attrs.frozen
class HeartbeatReply:
    """Reply to `Heartbeat`.

    Attributes:
        term: Highest leadership term known to the replying member.
        leading: True if the replying member leads in that term.
        leaving: True once the replying member is about to stop.
        members: Members known to the leader; empty if it does not lead, or if
            the heartbeat has the digest of this list.
        pending: Number of jobs that have not begun, by queue; empty if it does
            not lead.
        configuration_version: Version of the configuration that the replying
            member uses; 0 if it has none.
        members_digest: Digest of the members known to the leader.
        sent_at: Time of the reply on the clock of the replying member, in
            seconds.
        targets_version: Version of the target list with the last change that
            the leader has seen; 0 if the replying member does not lead.
        hears_site: Whether the leader lately heard most of the members and some
            of each zone. Otherwise another leader may serve the rest.
        unanswered_jobs: Ids of jobs that were left without an answer by any
            member, as reported to the leader since `Heartbeat.answered_at`.
        cancelled_jobs: Ids of jobs of which the leader has learned since then
            that they are cancelled.
        accepts_cancellations: Whether the replying member handles `CancelJob`.
            Earlier builds do not.
        evacuations_digest: As in `Heartbeat`, of the replying member.
        evacuations: These zones, if the heartbeat had another digest.
    """

    term: int
    leading: bool
    leaving: bool
    members: tuple[Member, ...]
    pending: dict[str, int]
    configuration_version: int
    members_digest: int
    sent_at: float
    targets_version: int
    hears_site: bool = True
    unanswered_jobs: tuple[str, ...] = ()
    cancelled_jobs: tuple[str, ...] = ()
    accepts_cancellations: bool = False
    evacuations_digest: int | None = None
    evacuations: EvacuationReport | None = None


@attrs.frozen
class LeaderQuery:
    """Asks another member whether it can reach the leader.

    Attributes:
        member: The sender.
        term: Highest leadership term known to the sender.
    """

    member: Member
    term: int


@attrs.frozen
class LeaderAnnounced:
    """Announces a leader to another member.

    Attributes:
        leader: The leader, which sends the message itself.
    """

    leader: Leader


@attrs.frozen
class TargetLossReport:
    """Tells the members which targets the leader has lost or found again.

    Any of them may lead next, and has to know the tasks that may crash targets.

    Attributes:
        losses: Losses that are new or have changed.
    """

    losses: tuple[TargetLoss, ...]


# Every message that an `Envelope` can hold.
Message = (
    Hello
    | ForwardSubmission
    | ForwardReply
    | Gossip
    | LoadReport
    | ConfigurationRequest
    | ConfigurationReply
    | HandoverChunk
    | HandoverSeal
    | HandoverAck
    | Offer
    | Outcome
    | WithdrawJob
    | CancelJob
    | CancelJobReply
    | Heartbeat
    | HeartbeatReply
    | LeaderQuery
    | Opinion
    | LeaderAnnounced
    | TargetLossReport
)
