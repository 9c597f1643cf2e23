"""Events of a simulated run, recorded outside the entries.

All times are virtual times in seconds.
"""

import attrs

from anvilford.model import Answer
from anvilford.protocol import RequestKind


@attrs.frozen
class RequestSent:
    """A caller sent a request to an entry.

    Attributes:
        at: Time at which the entry received the request.
        request: Request id.
        caller: Name of the caller.
        submission: Submission id.
        kind: Kind of the request.
        entry: Label of the entry's process.
        task_uids: Ids of the job's tasks; empty unless a job is submitted.
        deadline: Time by which the caller needs an answer.
        repeatable: Whether the job's tasks may run more than once.
    """

    at: float
    request: str
    caller: str
    submission: str
    kind: RequestKind
    entry: str
    task_uids: tuple[str, ...]
    deadline: float
    repeatable: bool


@attrs.frozen
class AnswerReceived:
    """A caller received an answer."""

    at: float
    request: str
    answer: Answer


@attrs.frozen
class AttemptSent:
    """An entry sent a task to a target."""

    at: float
    entry: str
    target: str
    attempt: str
    task_uid: str


@attrs.frozen
class TaskStarted:
    """A target started a task."""

    at: float
    target: str
    attempt: str
    task_uid: str


@attrs.frozen
class TargetBeganLeaving:
    """A sign that a target is leaving: VM list, drain mark or its refusal."""

    at: float
    target: str


@attrs.frozen
class EntryStarted:
    """An entry process started while `peers` other entries were alive."""

    at: float
    entry: str
    peers: int


@attrs.frozen
class EntryKilled:
    """An entry was killed; its open requests may remain unanswered."""

    at: float
    entry: str


@attrs.frozen
class EntryStopped:
    """An entry completed a planned stop."""

    at: float
    entry: str


@attrs.frozen
class EntrySuspended:
    """An entry was suspended until the time `until`."""

    at: float
    entry: str
    until: float


@attrs.frozen
class ConfigurationAccepted:
    """The platform stored a new version of the configuration."""

    at: float
    version: int


@attrs.frozen
class ConfigurationObserved:
    """An entry put a version of the configuration in force."""

    at: float
    entry: str
    incarnation: str
    version: int


HistoryEvent = (
    RequestSent
    | AnswerReceived
    | AttemptSent
    | TaskStarted
    | TargetBeganLeaving
    | EntryStarted
    | EntryKilled
    | EntryStopped
    | EntrySuspended
    | ConfigurationAccepted
    | ConfigurationObserved
)


@attrs.define
class History:
    """Events of one run in the order of time.

    Attributes:
        events: All recorded events.
        partitions: Network partitions as (zone, start, end). A platform outage
            is included with the zone "platform".
        ended_at: Time at which the run ended.
        versions_at_end: Configuration version in force at the end of the run
            by address of the live entries.
    """

    events: list[HistoryEvent] = attrs.field(factory=list)
    partitions: list[tuple[str, float, float]] = attrs.field(factory=list)
    ended_at: float = 0.0
    versions_at_end: dict[str, int] = attrs.field(factory=dict)

    def record(self, event: HistoryEvent) -> None:
        """Appends an event."""
        self.events.append(event)

    def events_of(self, kind: type) -> list:
        """Returns the events of one class."""
        return [event for event in self.events if isinstance(event, kind)]
