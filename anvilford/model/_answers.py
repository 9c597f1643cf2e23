"""Answers to submission requests and their JSON encoding.

An answer is encoded once, when it becomes final. The same bytes are then sent
to the first caller, to every resubmission, and to other daemons in forwarded
requests and handovers.
"""

import enum
import json
from typing import Any

import attrs


class TaskState(enum.StrEnum):
    """State of one task of a failed job."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    # The result of the task is withheld, since answers are never partial.
    SUCCEEDED = "succeeded"


class FailureReason(enum.StrEnum):
    """Why a job failed after one of its tasks ran or may have run."""

    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NO_TARGET = "no_target"


class RefusalReason(enum.StrEnum):
    """Why a job was answered without any of its tasks having run."""

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
    """Why the outcome of a submission cannot be determined."""

    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"
    HANDOVER_INCOMPLETE = "handover_incomplete"
    ENTRY_STOPPING = "entry_stopping"


@attrs.frozen
class Complete:
    """Answer of a job all of whose tasks succeeded.

    Attributes:
        results: Results of the tasks, as JSON values in task order.
    """

    results: tuple[Any, ...]


@attrs.frozen
class Failed:
    """Answer of an incomplete job whose tasks ran or may have run.

    Attributes:
        reason: Why the job ended.
        tasks: State of each task, in task order.
        message: Error text reported by the target; may be empty.
    """

    reason: FailureReason
    tasks: tuple[TaskState, ...]
    message: str = ""


@attrs.frozen
class NotRun:
    """Answer of a job of which no task ran or will run under this id.

    Attributes:
        reason: Why the job was refused.
        retry_after_ms: Time in milliseconds after which a new submission may
            be admitted; 0 if unknown.
        retry_id: New submission id to use for the retry; empty if none was
            issued.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    retry_id: str = ""


@attrs.frozen
class OutcomeUnknown:
    """The outcome of the job cannot be determined; it may have run.

    Attributes:
        reason: Why the outcome cannot be determined.
    """

    reason: UnknownReason


@attrs.frozen
class Pending:
    """There is no final answer yet.

    Attributes:
        submitted: False when the id is valid but no job has been submitted
            under it.
    """

    submitted: bool = True


@attrs.frozen
class Expired:
    """The record of this id was evicted; no job runs under the id again."""


@attrs.frozen
class NeverIssued:
    """The owner has not issued an id with this sequence number."""


@attrs.frozen
class UnknownId:
    """The id was not issued to the caller that uses it."""


@attrs.frozen
class Conflict:
    """A different job was already submitted under this id."""


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
    """An answer as it is sent to callers and other daemons.

    Attributes:
        kind: Value of the "outcome" key; determines the HTTP status.
        body: JSON object in UTF-8.
    """

    kind: str
    body: bytes


def encode_answer(answer: Answer) -> EncodedAnswer:
    """Encodes an answer as a JSON object with its kind under "outcome"."""
    kind = _KIND_BY_TYPE[type(answer)]
    document = {"outcome": kind, **attrs.asdict(answer, recurse=False)}
    return EncodedAnswer(
        kind, json.dumps(document, separators=(",", ":")).encode()
    )


def decode_answer(encoded: EncodedAnswer) -> Answer:
    """Decodes an answer that `encode_answer` encoded.

    Raises:
        KeyError: The kind is unknown or a required field is missing.
        TypeError: The body has unknown fields; some kinds ignore these.
        ValueError: The body is not JSON, or a reason or state is unknown.
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
