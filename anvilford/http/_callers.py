"""The callers' interface: a WSGI application on the CherryPy server.

It is a plain WSGI callable because CherryPy's page handlers cost about 1 ms
more processor time for each request.
"""

import json
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol

import attrs

from anvilford.http._tokens import TokenTable
from anvilford.model import EncodedAnswer
from anvilford.model import InvalidJob
from anvilford.model import JobLimits
from anvilford.model import JobSpec
from anvilford.model import parse_job
from anvilford.model import parse_submission_id
from anvilford.model import SubmissionId
from anvilford.protocol import RequestKind

MAX_IDS_PER_REQUEST = 1000
# Of a body that is too large, at most this many times the limit is read.
MAX_DISCARD_FACTOR = 4
DISCARD_CHUNK_BYTES = 64 * 1024

STATUS_BY_OUTCOME = {
    "complete": "200 OK",
    "failed": "200 OK",
    "pending": "202 Accepted",
    "unknown_id": "404 Not Found",
    "never_issued": "404 Not Found",
    "conflict": "409 Conflict",
    "expired": "410 Gone",
    "not_run": "503 Service Unavailable",
    "outcome_unknown": "504 Gateway Timeout",
}


class CallerPort(Protocol):
    """What the callers' interface needs of an entry; methods may block."""

    def is_ready(self) -> bool:
        """Tells whether requests may be served."""

    def is_draining(self) -> bool:
        """Tells whether a planned stop began."""

    def issue_ids(self, caller: str, count: int) -> list[str]:
        """Issues submission ids."""

    def serve(
        self,
        caller: str,
        submission_id: SubmissionId,
        kind: RequestKind,
        job: JobSpec | None,
        body: bytes,
        traceparent: str,
    ) -> EncodedAnswer:
        """Serves a request for a submission; waits for the answer."""


@attrs.frozen
class RequestError(Exception):
    """A request that is answered with an error instead of an outcome.

    Attributes:
        status: HTTP status line.
        error_type: Machine-readable type of the error.
        message: Text for people.
    """

    status: str
    error_type: str
    message: str


@attrs.frozen
class CallersApplication:
    """WSGI application of the callers' listener.

    Attributes:
        port: The entry.
        tokens: Callers by bearer token.
        job_limits: Bounds on a job.
    """

    port: CallerPort
    tokens: TokenTable
    job_limits: JobLimits

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request."""
        try:
            status, body = self._handle(environ)
        except RequestError as failure:
            status = failure.status
            body = _error_body(failure)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    def _handle(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        self._check_content_length(environ)
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if method == "GET" and path == "/v1/ready":
            return self._handle_readiness()
        caller = self._authenticate(environ)
        if not self.port.is_ready():
            raise RequestError(
                "503 Service Unavailable",
                "not_ready",
                "no configuration is in force here yet",
            )
        if path == "/v1/submission-ids":
            _require_method(method, "POST")
            return self._handle_issue_ids(caller, environ)
        prefix = "/v1/submissions/"
        if path.startswith(prefix):
            return self._handle_submission(
                caller, path.removeprefix(prefix), environ
            )
        raise RequestError("404 Not Found", "no_such_path", path)

    def _check_content_length(self, environ: dict[str, Any]) -> None:
        limit = self.job_limits.body_bytes
        text = environ.get("CONTENT_LENGTH") or ""
        if not text.isdigit() or int(text) <= limit:
            return
        # The server closes the connection after this refusal. With unread
        # bytes that resets it, and the caller may lose the response.
        left = min(int(text), MAX_DISCARD_FACTOR * limit)
        while left > 0:
            chunk = environ["wsgi.input"].read(min(left, DISCARD_CHUNK_BYTES))
            if not chunk:
                break
            left -= len(chunk)
        raise RequestError(
            "413 Content Too Large",
            "body_too_large",
            f"at most {limit} bytes",
        )

    def _handle_readiness(self) -> tuple[str, bytes]:
        if self.port.is_ready() and not self.port.is_draining():
            return "200 OK", b'{"ready":true}'
        return "503 Service Unavailable", b'{"ready":false}'

    def _authenticate(self, environ: dict[str, Any]) -> str:
        caller = self.tokens.name_for(environ.get("HTTP_AUTHORIZATION"))
        if caller is None:
            raise RequestError(
                "401 Unauthorized", "unauthorized", "a known token is needed"
            )
        return caller

    def _handle_issue_ids(
        self, caller: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        if self.port.is_draining():
            raise RequestError(
                "503 Service Unavailable", "draining", "use another entry"
            )
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        text = query.get("count", ["1"])[0]
        is_number = text.isascii() and text.isdigit() and len(text) <= 4
        if not is_number or not 1 <= int(text) <= MAX_IDS_PER_REQUEST:
            raise RequestError(
                "400 Bad Request",
                "invalid_count",
                f"count must be from 1 to {MAX_IDS_PER_REQUEST}",
            )
        ids = self.port.issue_ids(caller, int(text))
        return "201 Created", json.dumps({"ids": ids}).encode()

    def _handle_submission(
        self, caller: str, text: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        parsed = parse_submission_id(text)
        if parsed.is_error():
            raise RequestError(
                "400 Bad Request", "invalid_submission_id", "not an id"
            )
        match environ["REQUEST_METHOD"]:
            case "PUT":
                kind = RequestKind.SUBMIT
                body = self._read_body(environ)
                job = self._parse_job(body)
            case "GET":
                kind, body, job = RequestKind.STATUS, b"", None
            case "DELETE":
                kind, body, job = RequestKind.CANCEL, b"", None
            case method:
                raise _method_not_allowed(method)
        traceparent = environ.get("HTTP_TRACEPARENT", "")
        answer = self.port.serve(
            caller, parsed.ok, kind, job, body, traceparent
        )
        return STATUS_BY_OUTCOME[answer.kind], answer.body

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        text = environ.get("CONTENT_LENGTH") or ""
        if not text.isdigit():
            raise RequestError(
                "411 Length Required", "length_required", "Content-Length"
            )
        body = environ["wsgi.input"].read(int(text))
        if len(body) != int(text):
            raise RequestError(
                "400 Bad Request", "short_body", "the body ended early"
            )
        return body

    def _parse_job(self, body: bytes) -> JobSpec:
        parsed = parse_job(body, self.job_limits)
        if parsed.is_error():
            violation: InvalidJob = parsed.error
            raise RequestError(
                "400 Bad Request",
                "invalid_job",
                f"{violation.path}: must be {violation.expected}",
            )
        return parsed.ok


def _require_method(method: str, expected: str) -> None:
    if method != expected:
        raise _method_not_allowed(method)


def _method_not_allowed(method: str) -> RequestError:
    return RequestError("405 Method Not Allowed", "method_not_allowed", method)


def _error_body(failure: RequestError) -> bytes:
    document = {"type": failure.error_type, "message": failure.message}
    return json.dumps(document).encode()
