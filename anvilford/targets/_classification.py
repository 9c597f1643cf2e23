"""Classifies the response or error of a call as an attempt's outcome."""

import http.client
import json
from typing import Any

import urllib3

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.model import UnknownAttemptReason

# Reasons, by their text in a response, that a target may give for not running
# a task.
_NOT_RUN_REASONS = {
    reason.value: reason
    for reason in (
        NotStartedReason.BUSY,
        NotStartedReason.LEAVING,
        NotStartedReason.LEASE,
    )
}
_BAD_RESPONSE = AttemptUnknown(UnknownAttemptReason.BAD_RESPONSE)


def classify_answer(
    status: int, body: bytes, attempt_id: str
) -> AttemptOutcome:
    """Classifies a response that was received completely.

    Args:
        status: HTTP status.
        body: Complete body.
        attempt_id: Id of the attempt, which the body must repeat.

    Returns:
        The outcome; `AttemptUnknown` for any response that is malformed or
        belongs to another attempt.
    """
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return _BAD_RESPONSE
    if not isinstance(document, dict) or "attempt" not in document:
        return _BAD_RESPONSE
    if document["attempt"] != attempt_id:
        return AttemptUnknown(UnknownAttemptReason.ATTEMPT_MISMATCH)
    match status, document:
        case 200, {"result": result}:
            return AttemptSucceeded(result)
        case 500, {"type": "task_failed", "message": str(message)}:
            return AttemptFailed(message)
        case 503, {"type": "not_run", "reason": str(reason)} if (
            reason in _NOT_RUN_REASONS
        ):
            return AttemptNotStarted(_NOT_RUN_REASONS[reason])
    return _BAD_RESPONSE


def classify_error(
    error: BaseException, sent: bool, expired: bool
) -> AttemptOutcome:
    """Classifies an attempt that ended without a complete response.

    Args:
        error: Error that ended the attempt.
        sent: False only if no byte of the request was written.
        expired: True if the client stopped waiting for the response.

    Returns:
        `AttemptNotStarted` if no byte was sent, otherwise `AttemptUnknown`.
    """
    causes = list(_iterate_causes(error))
    if not sent:
        if _has_instance(causes, ConnectionRefusedError):
            return AttemptNotStarted(NotStartedReason.CONNECTION_REFUSED)
        return AttemptNotStarted(NotStartedReason.NOT_SENT)
    timeouts = (TimeoutError, urllib3.exceptions.TimeoutError)
    if expired or _has_instance(causes, timeouts):
        return AttemptUnknown(UnknownAttemptReason.TIMEOUT)
    if _has_instance(causes, OSError):
        return AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
    malformed = (http.client.HTTPException, ValueError)
    if _has_instance(causes, malformed):
        return _BAD_RESPONSE
    return AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)


def _reject_constant(name: str) -> Any:
    # Python parses NaN and Infinity, which are not valid JSON. In a result,
    # they would make the answer to the caller invalid JSON as well.
    raise ValueError(f"{name} is not a valid JSON value")


def _iterate_causes(error: BaseException | None):
    while error is not None:
        yield error
        # urllib3 passes the original error as an argument of some errors.
        yield from (a for a in error.args if isinstance(a, BaseException))
        error = error.__cause__


def _has_instance(causes: list[BaseException], classes: Any) -> bool:
    return any(isinstance(cause, classes) for cause in causes)
