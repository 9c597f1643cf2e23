"""Outcomes of one attempt to run a task at a target."""

import enum
from typing import Any

import attrs


class NotStartedReason(enum.StrEnum):
    """Proof that an attempt never ran."""

    CONNECTION_REFUSED = "connection_refused"
    NOT_SENT = "not_sent"
    BUSY = "busy"
    LEAVING = "leaving"
    LEASE = "lease"


class UnknownAttemptReason(enum.StrEnum):
    """Why an attempt may have run."""

    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_RESPONSE = "bad_response"
    ATTEMPT_MISMATCH = "attempt_mismatch"


@attrs.frozen
class AttemptSucceeded:
    """The target answered with a whole result.

    Attributes:
        result: JSON value.
    """

    result: Any


@attrs.frozen
class AttemptFailed:
    """The target reports that the task ran and failed.

    Attributes:
        message: Text from the target.
    """

    message: str


@attrs.frozen
class AttemptNotStarted:
    """The task did not run: no byte was sent, or the target says so."""

    reason: NotStartedReason


@attrs.frozen
class AttemptUnknown:
    """The task may have run, or may still be running."""

    reason: UnknownAttemptReason


AttemptOutcome = (
    AttemptSucceeded | AttemptFailed | AttemptNotStarted | AttemptUnknown
)
