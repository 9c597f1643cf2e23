"""One HTTP call to a target, performed on a worker thread."""

import json
import time
import urllib.parse
from typing import Any

import attrs
import urllib3

from anvilford.model import AttemptOutcome
from anvilford.model import AttemptUnknown
from anvilford.model import UnknownAttemptReason
from anvilford.targets._classification import classify_answer
from anvilford.targets._classification import classify_error
from anvilford.targets._exchange import Exchange
from anvilford.targets._exchange import NotSentError
from anvilford.targets._exchange import TargetPool
from anvilford.targets._exchange import THREAD_LOCAL
from anvilford.targets._settings import AttemptToCancel
from anvilford.targets._settings import AttemptToStart
from anvilford.targets._settings import TargetSettings

_CHUNK_BYTES = 64 * 1024


@attrs.frozen
class Call:
    """A request to a target.

    Attributes:
        attempt_id: Id of the attempt that the request starts or cancels.
        method: HTTP method.
        path: Path with percent-encoded segments.
        headers: Headers without `Anvilford-Lease-Ms`, which the connection adds
            just before sending.
        json_body: JSON value of the body; None for a request without a body.
    """

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    json_body: Any

    @classmethod
    def start(cls, attempt: AttemptToStart, traceparent: str) -> "Call":
        """Builds the request that starts a task.

        Args:
            attempt: Attempt with the task to run.
            traceparent: W3C trace context, or "".
        """
        headers = {
            "Content-Type": "application/json",
            "Anvilford-Attempt": attempt.attempt_id,
        }
        if traceparent:
            headers["traceparent"] = traceparent
        task = attempt.task
        document = {"operation": task.operation, "payload": task.payload}
        return cls(attempt.attempt_id, "POST", "/v1/tasks", headers, document)

    @classmethod
    def cancel(cls, attempt: AttemptToCancel) -> "Call":
        """Builds the request that cancels an attempt."""
        segment = urllib.parse.quote(attempt.attempt_id, safe="")
        path = f"/v1/tasks/{segment}"
        return cls(attempt.attempt_id, "DELETE", path, {}, None)


def perform_call(
    call: Call, pool: TargetPool, exchange: Exchange, settings: TargetSettings
) -> AttemptOutcome:
    """Sends a request and classifies the response or error.

    Never raises.

    Args:
        call: Request to send.
        pool: Connections to the target.
        exchange: State of the request, shared with the event loop.
        settings: Timeouts and limits.
    """
    THREAD_LOCAL.exchange = exchange
    try:
        status, body = _send(call, pool, exchange, settings)
    # Whatever the error is, the outcome depends on whether a byte was sent. If
    # none was, the task did not start.
    except Exception as error:
        return classify_error(error, exchange.sent, exchange.expired)
    if body is None:
        return AttemptUnknown(UnknownAttemptReason.BAD_RESPONSE)
    return classify_answer(status, body, call.attempt_id)


def _send(
    call: Call, pool: TargetPool, exchange: Exchange, settings: TargetSettings
) -> tuple[int, bytes | None]:
    """Sends a request and reads the response.

    Returns:
        The HTTP status and the body; None instead of a body that is larger
        than `settings.response_bytes`.

    Raises:
        NotSentError: The request was aborted, or its deadline or lease ended,
            before the first byte was written.
    """
    body = None
    if call.json_body is not None:
        body = json.dumps(call.json_body, separators=(",", ":")).encode()
    now = time.monotonic()
    remaining = min(exchange.deadline, exchange.lease_end) - now
    if remaining <= 0 or exchange.aborted:
        raise NotSentError
    timeout = urllib3.Timeout(
        connect=min(settings.connect_timeout_ms / 1000, remaining),
        read=exchange.lease_end - now + settings.grace_ms / 1000,
    )
    response = pool.urlopen(
        call.method,
        call.path,
        body,
        call.headers,
        retries=False,
        redirect=False,
        timeout=timeout,
        pool_timeout=remaining,
        preload_content=False,
        decode_content=False,
    )
    try:
        return response.status, _read_body(response, settings.response_bytes)
    finally:
        # Returns the connection to the pool if reading has not done so. A
        # connection with an unread part of the body is closed by then.
        response.release_conn()


def _read_body(response: urllib3.BaseHTTPResponse, limit: int) -> bytes | None:
    chunks = []
    size = 0
    while chunk := response.read(_CHUNK_BYTES, decode_content=False):
        chunks.append(chunk)
        size += len(chunk)
        if size > limit:
            response.close()
            return None
    return b"".join(chunks)
