"""Server for callers: one request at a time on each connection."""

import asyncio
import collections
import logging
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import httptools

_logger = logging.getLogger(__name__)

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
    """Bounds on what callers send.

    Attributes:
        max_header_bytes: Largest header.
        max_body_bytes: Largest body.
        idle_timeout_s: How long an idle connection stays open.
        max_pipelined_requests: Requests read ahead on a connection before it is paused.
        backlog: Connections waiting to be accepted.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    idle_timeout_s: float = 30.0
    max_pipelined_requests: int = 8
    backlog: int = 1024


@attrs.define(eq=False)
class Request:
    """A whole request.

    Attributes:
        method: Method.
        target: Path with its query.
        headers: Values by name in lower case.
        body: Body.
        disconnected: Set when the connection ends before the answer; the result is
            True if it was reset.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    disconnected: asyncio.Future


@attrs.frozen
class Response:
    """An answer.

    Attributes:
        status: Status code.
        body: Body.
        content_type: Its type.
        headers: Further headers.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response]]


class _ServerConnection(asyncio.Protocol):
    """Reads requests and answers them in order."""

    def __init__(self, listener: "HttpListener"):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.request_queue: collections.deque[Request] = collections.deque()
        self.current_request: Request | None = None
        self.serve_task: asyncio.Task | None = None
        self.is_closing = False
        self.reading_paused = False
        self.idle_timer: asyncio.TimerHandle | None = None
        self.parser = httptools.HttpRequestParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.size_error_status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.listener.connections.add(self)
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
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

    # Callbacks of the parser.

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
                self.reading_paused = False
                self.transport.resume_reading()
        self.serve_task = None
        if not self.is_closing:
            self._start_idle_timer()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.listener.handler(request)
        except Exception:
            _logger.exception("handler failed", extra={"path": request.target})
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
        """Closes the connection unless a request is in progress."""
        if (
            self.current_request is None
            and not self.request_queue
            and self.body_size == 0
        ):
            self.is_closing = True
            self.transport.close()


class HttpListener:
    """Listens on one address; an async context manager.

    Attributes:
        address: "IP:port".
        handler: Called for each request.
        limits: Bounds.
        is_closing: When True, each answer closes its connection.
        connections: Open connections.
        final_requests: Requests after whose answers their callers close.
    """

    def __init__(self, address: str, handler: Handler, limits: ListenerLimits):
        self.address = address
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self.connections: set[_ServerConnection] = set()
        self.final_requests: set[Request] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    def start_task(self, coroutine) -> asyncio.Task:
        """Starts a task that the listener owns."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def __aenter__(self) -> "HttpListener":
        """Starts to listen.

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
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()
