"""What happened in a simulated run, as seen from outside the entries."""

import attrs

from anvilford.model import Answer
from anvilford.protocol import RequestKind


@attrs.frozen
class RequestSent:
    """A caller sent a request to an entry."""

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
    """A target started to run a task."""

    at: float
    target: str
    attempt: str
    task_uid: str


@attrs.frozen
class TargetBeganLeaving:
    """A target began to leave, was drained, or said that it is leaving."""

    at: float
    target: str


@attrs.frozen
class EntryStarted:
    """A process started while `peers` other entries were alive."""

    at: float
    entry: str
    peers: int


@attrs.frozen
class EntryKilled:
    """An entry was killed; its requests may stay without an answer."""

    at: float
    entry: str


@attrs.frozen
class EntryStopped:
    """An entry completed a planned stop."""

    at: float
    entry: str


@attrs.frozen
class EntrySuspended:
    """An entry was suspended until a later time."""

    at: float
    entry: str
    until: float


@attrs.frozen
class ConfigurationAccepted:
    """The platform accepted a configuration."""

    at: float
    version: int


@attrs.frozen
class ConfigurationObserved:
    """An entry put a configuration in force."""

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
    """Events of one run in order of time.

    Attributes:
        events: Everything recorded.
        cuts: Zone cuts as (zone, from, until).
        ended_at: Time at which the run ended.
        versions_at_end: Version in force at each live entry at the end.
    """

    events: list[HistoryEvent] = attrs.field(factory=list)
    partitions: list[tuple[str, float, float]] = attrs.field(factory=list)
    ended_at: float = 0.0
    versions_at_end: dict[str, int] = attrs.field(factory=dict)

    def record(self, event: HistoryEvent) -> None:
        """Appends an event."""
        self.events.append(event)

    def events_of(self, kind: type) -> list:
        """Events of one class."""
        return [event for event in self.events if isinstance(event, kind)]
