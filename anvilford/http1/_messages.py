"""Requests and responses of the HTTP server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    414: "URI Too Long",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.define(eq=False)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method in upper case.
        target: Request target: path and query.
        headers: Header values by name in lower case, without those of trailers.
        body: The body, without transfer encoding.
        disconnected: Completed if the connection ends before the response is
            written; the result is True if the connection was reset and False if
            the client closed it.
        arrived_at: Earliest time at which its first byte may have arrived, in
            seconds of the listener's `arrival_clock`.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    disconnected: asyncio.Future
    arrived_at: float


@attrs.frozen
class Response:
    """A response.

    Attributes:
        status: HTTP status code.
        body: The body.
        content_type: Value of the Content-Type header.
        headers: Names and values of additional headers.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response]]


def encode_response(response: Response, is_last: bool) -> bytes:
    """Returns the bytes of a response.

    Args:
        response: The response.
        is_last: Whether the connection is closed after it.
    """
    reason = _REASON_PHRASES.get(response.status, "Unknown")
    lines = [
        f"HTTP/1.1 {response.status} {reason}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if is_last:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body
