"""HTTP/1.1 server that handles the requests of a connection in order."""

import asyncio
import collections
import logging
import time
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import httptools

from anvilford.sockets import set_peer_loss_timeout

_logger = logging.getLogger(__name__)

# The kernel probes connections once a second at most, so that it can tell after
# two seconds that a client is lost. This bounds how long a job goes on for a caller
# whose FIN or reset was lost on the way, before its deadline. It does not prevent a
# second run: callers send a job again 1.3 s after their connection broke.
PEER_LOSS_TIMEOUT_S = 2.0
# Time after a pause in which the loop reads what arrived during it. It polls its
# sockets at least once before a timer ends.
READ_AGAIN_S = 0.02

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class ListenerLimits:
    """Limits on requests and connections.

    Attributes:
        max_header_bytes: Largest total length of names and values of a
            request's headers.
        max_body_bytes: Largest body of a request.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
        max_pipelined_requests: Number of waiting requests at which reading from
            a connection is paused.
        backlog: Length of the socket's queue of connections that are not yet
            accepted.
        peer_loss_timeout_s: Time without an acknowledgement after which a
            connection ends, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    idle_timeout_s: float = 30.0
    max_pipelined_requests: int = 8
    backlog: int = 1024
    peer_loss_timeout_s: float = PEER_LOSS_TIMEOUT_S


@attrs.define(eq=False)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method in upper case.
        target: Request target: path and query.
        headers: Header values by name in lower case.
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


class _ServerConnection(asyncio.Protocol):
    """A connection whose requests are read ahead and answered in order.

    Attributes:
        listener: The listener that accepted the connection.
        transport: Transport of the connection; None until it is open.
        request_queue: Complete requests that wait for earlier ones.
        current_request: The request that is being handled, if any.
        serve_task: Task that handles queued requests; None while there are
            none.
        is_closing: True once the connection was closed or lost.
        reading_paused: True while too many requests wait in the queue.
        unread_since: Time at which reading was paused, until what arrived
            meanwhile is read; else None.
        data_arrived_at: Earliest time at which the data that was read last may
            have arrived.
        idle_timer: Closes the connection; set while no request is in progress.
        parser: Parser of the requests.
        url: Target of the request that is being received; it and the
            attributes below are reset for each request.
        arrived_at: Earliest time at which its first byte may have arrived.
        headers: Headers received so far.
        header_size: Their total length in bytes.
        body_parts: Parts of the body received so far.
        body_size: Their total length in bytes.
        size_error_status: HTTP status of a request that exceeds a limit, else
            0.
    """

    def __init__(self, listener: "HttpListener"):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.request_queue: collections.deque[Request] = collections.deque()
        self.current_request: Request | None = None
        self.serve_task: asyncio.Task | None = None
        self.is_closing = False
        self.reading_paused = False
        self.unread_since: float | None = None
        self.data_arrived_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.parser = httptools.HttpRequestParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self.url = b""
        self.arrived_at = self.data_arrived_at
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.size_error_status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        set_peer_loss_timeout(
            transport.get_extra_info("socket"),
            self.listener.limits.peer_loss_timeout_s,
        )
        self.listener.connections.add(self)
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        self.data_arrived_at = self.listener.arrival_clock()
        if self.unread_since is not None:
            self.data_arrived_at = min(self.data_arrived_at, self.unread_since)
            self.unread_since = None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closing = True
        self.listener.connections.discard(self)
        self._stop_idle_timer()
        was_reset = exc is not None
        for request in (self.current_request, *self.request_queue):
            if request is not None and not request.disconnected.done():
                request.disconnected.set_result(was_reset)

    # The parser calls the `on_*` methods from `data_received`.

    def on_message_begin(self) -> None:
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_size += len(name) + len(value)
        if self.header_size > self.listener.limits.max_header_bytes:
            self.size_error_status = 431
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > self.listener.limits.max_body_bytes:
            self.size_error_status = 413
            self.body_parts = []
            return
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.is_closing:
            return
        if self.size_error_status:
            self._reject(self.size_error_status)
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.body_parts),
            asyncio.get_running_loop().create_future(),
            self.arrived_at,
        )
        keep_alive = self.parser.should_keep_alive()
        self._stop_idle_timer()
        self.request_queue.append(request)
        if not keep_alive:
            self.listener.final_requests.add(request)
        if (
            len(self.request_queue)
            >= self.listener.limits.max_pipelined_requests
        ):
            self.reading_paused = True
            # What was there is read, so that more arrives from now on.
            self.unread_since = self.listener.arrival_clock()
            self.transport.pause_reading()
        if self.serve_task is None:
            self.serve_task = self.listener.start_task(self._serve())

    async def _serve(self) -> None:
        while self.request_queue and not self.is_closing:
            self.current_request = request = self.request_queue.popleft()
            response = await self._handle(request)
            is_last = request in self.listener.final_requests
            self.listener.final_requests.discard(request)
            self.current_request = None
            self._write(response, is_last or self.listener.is_closing)
            if self.reading_paused and not self.is_closing:
                self._resume_reading()
        self.serve_task = None
        if not self.is_closing:
            self._start_idle_timer()

    def _resume_reading(self) -> None:
        self.reading_paused = False
        self.transport.resume_reading()
        asyncio.get_running_loop().call_later(
            READ_AGAIN_S, self._end_pause, self.unread_since
        )

    def _end_pause(self, unread_since: float | None) -> None:
        """Lets data count as new if none had arrived during a pause."""
        if not self.reading_paused and self.unread_since == unread_since:
            self.unread_since = None

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.listener.handler(request)
        except Exception:
            _logger.exception(
                "request handler failed", extra={"path": request.target}
            )
            return Response(500)

    def _write(self, response: Response, is_last: bool) -> None:
        if self.is_closing:
            return
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
        self.transport.write(head.encode("latin-1") + response.body)
        if is_last:
            self.is_closing = True
            self.transport.close()

    def _reject(self, status: int) -> None:
        if not self.is_closing:
            self._write(Response(status), is_last=True)

    def _start_idle_timer(self) -> None:
        self._stop_idle_timer()
        self.idle_timer = asyncio.get_running_loop().call_later(
            self.listener.limits.idle_timeout_s, self._close_idle
        )

    def _stop_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def _close_idle(self) -> None:
        if self.current_request is None and not self.request_queue:
            self.transport.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is received or handled."""
        if (
            self.current_request is None
            and not self.request_queue
            and self.body_size == 0
        ):
            self.is_closing = True
            self.transport.close()


class HttpListener:
    """HTTP server on one address; an async context manager.

    Leaving the context cancels running handlers and closes all connections.

    Attributes:
        address: "IP:port"; with port 0 it holds the assigned port once the
            listener is open.
        handler: Called for each request; an exception is answered with 500.
        limits: Limits on requests and connections.
        arrival_clock: Returns the earliest time at which data that is read now
            may have arrived, in seconds.
        is_closing: Set by the owner to True before a stop; each response then
            closes its connection.
        connections: Open connections.
        final_requests: Requests in progress that are the last ones on their
            connections, because the client does not keep them alive.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ListenerLimits,
        arrival_clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.handler = handler
        self.limits = limits
        self.arrival_clock = arrival_clock
        self.is_closing = False
        self.connections: set[_ServerConnection] = set()
        self.final_requests: set[Request] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    def start_task(self, coroutine) -> asyncio.Task:
        """Starts a task that is cancelled when the listener is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def __aenter__(self) -> "HttpListener":
        """Opens the listening socket.

        Raises:
            OSError: The address is not available.
        """
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(self),
            host,
            int(port),
            backlog=self.limits.backlog,
            reuse_address=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.close()

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()
