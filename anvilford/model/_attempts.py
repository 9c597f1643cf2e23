"""Outcomes of an attempt to run a task at a target."""

import enum
from typing import Any

import attrs


class NotStartedReason(enum.StrEnum):
    """Why an attempt is known not to have run.

    Attributes:
        CONNECTION_REFUSED: The target refused the connection.
        NOT_SENT: No byte of the request was written, for another reason.
        BUSY: The target refused the task for lack of a free slot.
        LEAVING: The target refused the task because it is leaving.
        LEASE: The target refused the task because its lease had run out.
    """

    CONNECTION_REFUSED = "connection_refused"
    NOT_SENT = "not_sent"
    BUSY = "busy"
    LEAVING = "leaving"
    LEASE = "lease"


class UnknownAttemptReason(enum.StrEnum):
    """Why it is unknown whether an attempt ran.

    Attributes:
        CONNECTION_LOST: The connection broke after a byte was sent.
        TIMEOUT: No response arrived in time.
        BAD_RESPONSE: The response is malformed.
        ATTEMPT_MISMATCH: The response names another attempt.
    """

    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_RESPONSE = "bad_response"
    ATTEMPT_MISMATCH = "attempt_mismatch"


@attrs.frozen
class AttemptSucceeded:
    """The target returned the complete result of the task.

    Attributes:
        result: Result of the task, as a JSON value.
    """

    result: Any


@attrs.frozen
class AttemptFailed:
    """The target reported that the task ran and failed.

    Attributes:
        message: Error text reported by the target.
    """

    message: str


@attrs.frozen
class AttemptNotStarted:
    """The task did not run: nothing was sent, or the target refused it.

    Attributes:
        reason: Why the task is known not to have run.
    """

    reason: NotStartedReason


@attrs.frozen
class AttemptUnknown:
    """The task may have run or may still be running.

    Attributes:
        reason: Why the outcome is unknown.
    """

    reason: UnknownAttemptReason


AttemptOutcome = (
    AttemptSucceeded | AttemptFailed | AttemptNotStarted | AttemptUnknown
)
