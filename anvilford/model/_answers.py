"""Answers to submission requests and their encoded form.

An answer is encoded once, when it becomes final. The same bytes then serve the
first caller, every resubmission, a forward between daemons and a handover.
"""

import enum
import json
from typing import Any

import attrs


class TaskState(enum.StrEnum):
    """What is known of one task of a failed job."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    # The task ran, but its result is withheld: answers are never partial.
    SUCCEEDED = "succeeded"


class FailureReason(enum.StrEnum):
    """Why a job failed after at least one of its tasks was sent."""

    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NO_TARGET = "no_target"


class RefusalReason(enum.StrEnum):
    """Why no task of a job was ever sent."""

    OVERLOADED = "overloaded"
    DEADLINE_INFEASIBLE = "deadline_infeasible"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"
    NO_TARGET = "no_target"
    QUOTA = "quota"
    UNKNOWN_SERVICE = "unknown_service"
    OWNER_STOPPED = "owner_stopped"


class UnknownReason(enum.StrEnum):
    """Why this entry cannot tell what became of a submission."""

    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"
    HANDOVER_INCOMPLETE = "handover_incomplete"
    ENTRY_STOPPING = "entry_stopping"


@attrs.frozen
class Complete:
    """Every task succeeded.

    Attributes:
        results: JSON values, one per task in task order.
    """

    results: tuple[Any, ...]


@attrs.frozen
class Failed:
    """At least one task was sent and the job did not complete.

    Attributes:
        reason: What ended the job.
        tasks: State of each task, in task order.
        message: Text reported by the target, if any.
    """

    reason: FailureReason
    tasks: tuple[TaskState, ...]
    message: str = ""


@attrs.frozen
class NotRun:
    """No task of the job was sent, and none will be under this id.

    Attributes:
        reason: Why the job was refused.
        retry_after_ms: When a new submission may fare better; 0 if unknown.
        retry_id: Fresh id for a new submission; empty if none was issued.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    retry_id: str = ""


@attrs.frozen
class OutcomeUnknown:
    """The owner cannot be asked; the job may have run."""

    reason: UnknownReason


@attrs.frozen
class Pending:
    """There is no final answer yet.

    Attributes:
        submitted: False when the id is valid but no job came under it.
    """

    submitted: bool = True


@attrs.frozen
class Expired:
    """The record was dropped after retention; the id never runs again."""


@attrs.frozen
class NeverIssued:
    """The owner has not issued this sequence."""


@attrs.frozen
class UnknownId:
    """The id was not issued to this caller."""


@attrs.frozen
class Conflict:
    """Another job was submitted under this id."""


Answer = (
    Complete
    | Failed
    | NotRun
    | OutcomeUnknown
    | Pending
    | Expired
    | NeverIssued
    | UnknownId
    | Conflict
)

_TYPE_BY_KIND: dict[str, type] = {
    "complete": Complete,
    "failed": Failed,
    "not_run": NotRun,
    "outcome_unknown": OutcomeUnknown,
    "pending": Pending,
    "expired": Expired,
    "never_issued": NeverIssued,
    "unknown_id": UnknownId,
    "conflict": Conflict,
}
_KIND_BY_TYPE = {cls: name for name, cls in _TYPE_BY_KIND.items()}


@attrs.frozen
class EncodedAnswer:
    """An answer as it goes over the wire.

    Attributes:
        kind: Value of the "outcome" key; fixes the HTTP status.
        body: JSON text, UTF-8.
    """

    kind: str
    body: bytes


def encode_answer(answer: Answer) -> EncodedAnswer:
    """Encodes an answer as JSON with its kind under "outcome"."""
    kind = _KIND_BY_TYPE[type(answer)]
    document = {"outcome": kind, **attrs.asdict(answer, recurse=False)}
    return EncodedAnswer(
        kind, json.dumps(document, separators=(",", ":")).encode()
    )


def decode_answer(encoded: EncodedAnswer) -> Answer:
    """Reads an answer made by `encode_answer`.

    Raises:
        KeyError: The kind is not one of ours.
        ValueError: The body does not have the form of its kind.
    """
    fields = json.loads(encoded.body)
    fields.pop("outcome")
    match _TYPE_BY_KIND[encoded.kind]:
        case cls if cls is Complete:
            return Complete(tuple(fields["results"]))
        case cls if cls is Failed:
            return Failed(
                FailureReason(fields["reason"]),
                tuple(TaskState(state) for state in fields["tasks"]),
                fields["message"],
            )
        case cls if cls is NotRun:
            fields["reason"] = RefusalReason(fields["reason"])
            return NotRun(**fields)
        case cls if cls is OutcomeUnknown:
            return OutcomeUnknown(UnknownReason(fields["reason"]))
        case cls:
            return cls(**fields)
