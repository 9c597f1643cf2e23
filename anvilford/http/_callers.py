"""The callers' interface: a WSGI application.

It is a plain WSGI callable because CherryPy's page handlers use about 1 ms
more processor time per request.
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
# An oversized body is read and discarded up to this multiple of the body limit,
# so that the caller receives the error response.
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
    """Access of the callers' interface to an entry.

    Methods are called on the server's threads and may block.
    """

    def is_ready(self) -> bool:
        """Returns whether the entry accepts requests for submissions.

        It does not before its first configuration.
        """

    def is_draining(self) -> bool:
        """Returns whether a planned stop has begun."""

    def issue_ids(self, caller: str, count: int) -> list[str]:
        """Issues submission ids.

        Args:
            caller: Name of the caller that the ids are valid for.
            count: Number of ids.
        """

    def serve(
        self,
        caller: str,
        submission_id: SubmissionId,
        kind: RequestKind,
        job: JobSpec | None,
        body: bytes,
        traceparent: str,
    ) -> EncodedAnswer:
        """Handles a request for a submission and waits for the answer.

        Args:
            caller: Name of the caller.
            submission_id: Id of the submission.
            kind: Submits a job, or asks for the status or the cancellation.
            job: The job; None unless it is submitted.
            body: Body of the request; empty unless a job is submitted.
            traceparent: The request's traceparent header, "" without one.

        Returns:
            The encoded answer; its kind selects the HTTP status.
        """


@attrs.frozen
class RequestError(Exception):
    """Raised for a request that is answered with an error, not an outcome.

    Attributes:
        status: HTTP status code and reason phrase.
        error_type: Type of the error, for programs.
        message: Description of the error, for people.
    """

    status: str
    error_type: str
    message: str


@attrs.frozen
class CallersApplication:
    """WSGI application of the callers' listener.

    Attributes:
        port: Access to the entry.
        tokens: Bearer tokens of the callers.
        job_limits: Limits on a job, including the size of its body.
    """

    port: CallerPort
    tokens: TokenTable
    job_limits: JobLimits

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request, as WSGI defines it."""
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
                "this entry has not received a configuration yet; "
                "use another entry or retry",
            )
        if path == "/v1/submission-ids":
            _require_method(method, "POST")
            return self._handle_issue_ids(caller, environ)
        prefix = "/v1/submissions/"
        if path.startswith(prefix):
            return self._handle_submission(
                caller, path.removeprefix(prefix), environ
            )
        raise RequestError(
            "404 Not Found",
            "no_such_path",
            f"{path} is not a path of this interface",
        )

    def _check_content_length(self, environ: dict[str, Any]) -> None:
        limit = self.job_limits.body_bytes
        text = environ.get("CONTENT_LENGTH") or ""
        if not text.isdigit() or int(text) <= limit:
            return
        # The server closes the connection after this error response. If unread
        # bytes remain, closing resets the connection and the caller may lose
        # the response.
        remaining = min(int(text), MAX_DISCARD_FACTOR * limit)
        while remaining > 0:
            chunk = environ["wsgi.input"].read(
                min(remaining, DISCARD_CHUNK_BYTES)
            )
            if not chunk:
                break
            remaining -= len(chunk)
        raise RequestError(
            "413 Content Too Large",
            "body_too_large",
            f"the body has {text} bytes; at most {limit} are allowed",
        )

    def _handle_readiness(self) -> tuple[str, bytes]:
        if self.port.is_ready() and not self.port.is_draining():
            return "200 OK", b'{"ready":true}'
        return "503 Service Unavailable", b'{"ready":false}'

    def _authenticate(self, environ: dict[str, Any]) -> str:
        caller = self.tokens.name_for(environ.get("HTTP_AUTHORIZATION"))
        if caller is None:
            raise RequestError(
                "401 Unauthorized",
                "unauthorized",
                "the Authorization header has no valid bearer token",
            )
        return caller

    def _handle_issue_ids(
        self, caller: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        if self.port.is_draining():
            raise RequestError(
                "503 Service Unavailable",
                "draining",
                "this entry is stopping and issues no ids; use another entry",
            )
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        text = query.get("count", ["1"])[0]
        is_number = text.isascii() and text.isdigit() and len(text) <= 4
        if not is_number or not 1 <= int(text) <= MAX_IDS_PER_REQUEST:
            raise RequestError(
                "400 Bad Request",
                "invalid_count",
                f"count is {text!r}; it must be an integer from 1 to "
                f"{MAX_IDS_PER_REQUEST}",
            )
        ids = self.port.issue_ids(caller, int(text))
        return "201 Created", json.dumps({"ids": ids}).encode()

    def _handle_submission(
        self, caller: str, text: str, environ: dict[str, Any]
    ) -> tuple[str, bytes]:
        parsed = parse_submission_id(text)
        if parsed.is_error():
            raise RequestError(
                "400 Bad Request",
                "invalid_submission_id",
                f"{text!r} is not a submission id",
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
                "411 Length Required",
                "length_required",
                "the request has no valid Content-Length header",
            )
        body = environ["wsgi.input"].read(int(text))
        if len(body) != int(text):
            raise RequestError(
                "400 Bad Request",
                "short_body",
                f"the body ended after {len(body)} of {text} bytes",
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
    return RequestError(
        "405 Method Not Allowed",
        "method_not_allowed",
        f"{method} is not allowed for this path",
    )


def _error_body(failure: RequestError) -> bytes:
    document = {"type": failure.error_type, "message": failure.message}
    return json.dumps(document).encode()
