"""HTTP/1.1 client with pooled connections and without pipelining."""

import asyncio
import collections
import socket
from collections.abc import Hashable

import attrs
import httptools

# Idle connections are not used again after this time. Servers on the platform
# close theirs after 15 s, and a request sent during that close would fail.
IDLE_TIMEOUT_S = 8.0
# Per address; beyond it, the connection that was idle longest is closed.
MAX_IDLE_CONNECTIONS = 8
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class ClientResponse:
    """A complete response.

    Attributes:
        status: HTTP status code.
        body: The body, without transfer encoding.
        connection: Connection on which it arrived.
    """

    status: int
    body: bytes
    connection: "Connection | None" = attrs.field(
        default=None, eq=False, repr=False
    )


@attrs.frozen
class CallFailed:
    """A call that did not get a complete response.

    Attributes:
        sent: False if no byte of the request was written, so that the server
            cannot have received it.
        reason: Short text for logs.
        connection_refused: True if the server's machine refused the
            connection.
        no_connection: True if the call required a connection to a known
            process, and none was idle.
        connection_closed: True if the connection was closed or reset after the
            request was written.
    """

    sent: bool
    reason: str
    connection_refused: bool = False
    no_connection: bool = False
    connection_closed: bool = False


@attrs.define
class ResponseProgress:
    """How much of a response has arrived; updated during the call.

    Attributes:
        received_bytes: Bytes received, with headers and transfer encoding.
    """

    received_bytes: int = 0


class Connection(asyncio.Protocol):
    """A connection that carries one request and its response at a time.

    Attributes:
        transport: Transport of the connection; None until it is open.
        response_future: Result of the current or last call: a
            `ClientResponse` or a `CallFailed`.
        body_parts: Parts of the response body received so far.
        body_size: Their total length in bytes.
        progress: Progress of the current or last call.
        idle_timeout: Longest pause in the response of the current call, in
            seconds; None if there is no such limit.
        last_data_at: Loop time in seconds at which data of the current
            response last arrived; 0 before it begins.
        timer: Ends the current call after its timeout.
        keep_alive: False once the connection must not be used for another
            request.
        idle_since: Loop time in seconds at which the last call ended.
        parser: Parser of the responses.
        process_id: What identifies the process at the other end, as set by the
            user of the client from a response; None if it is not known. A
            connection ends with the process that accepted it.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.response_future: asyncio.Future | None = None
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.progress = ResponseProgress()
        self.idle_timeout: float | None = None
        self.last_data_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.keep_alive = True
        self.idle_since = 0.0
        self.parser = httptools.HttpResponseParser(self)
        self.process_id: Hashable | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.progress.received_bytes += len(data)
        if self.idle_timeout is not None and self.timer is not None:
            self._record_data_time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(CallFailed(True, "malformed response"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.keep_alive = False
        reason = "connection closed" if exc is None else repr(exc)
        self._fail(CallFailed(True, reason, connection_closed=True))

    def _fail(self, failure: CallFailed) -> None:
        self.keep_alive = False
        if self.response_future is not None and not self.response_future.done():
            self.response_future.set_result(failure)
        if self.transport is not None:
            self.transport.abort()

    def _record_data_time(self) -> None:
        """Records that data arrived; the first data replaces the deadline."""
        loop = asyncio.get_running_loop()
        has_begun = self.last_data_at > 0
        self.last_data_at = loop.time()
        if not has_begun:
            self.timer.cancel()
            self.timer = loop.call_later(self.idle_timeout, self._end_idle_call)

    def _end_idle_call(self) -> None:
        """Ends the current call if no data arrived within `idle_timeout`."""
        loop = asyncio.get_running_loop()
        due_at = self.last_data_at + self.idle_timeout
        if loop.time() < due_at:
            self.timer = loop.call_at(due_at, self._end_idle_call)
        else:
            self._end_call()

    def _end_call(self) -> None:
        if not self.response_future.done():
            self.response_future.set_result(CallFailed(True, "timeout"))

    # The parser calls the `on_*` methods from `data_received`.

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_RESPONSE_BODY_BYTES:
            self._fail(CallFailed(True, "response too large"))
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()
        if self.response_future is not None and not self.response_future.done():
            self.response_future.set_result(
                ClientResponse(status, b"".join(self.body_parts), self)
            )

    async def exchange(
        self,
        request: bytes,
        deadline: float,
        idle_timeout: float | None,
        progress: ResponseProgress,
    ) -> ClientResponse | CallFailed:
        """Writes a request and waits for the response.

        Args:
            request: The request.
            deadline: Loop time in seconds at which the call ends. With
                `idle_timeout`, only if the response has not begun.
            idle_timeout: Longest pause in the response, in seconds, or None.
            progress: Updated while the response arrives.
        """
        loop = asyncio.get_running_loop()
        self.body_parts = []
        self.body_size = 0
        self.progress = progress
        self.idle_timeout = idle_timeout
        self.last_data_at = 0.0
        self.response_future = loop.create_future()
        self.timer = loop.call_at(deadline, self._end_call)
        self.transport.write(request)
        try:
            return await self.response_future
        finally:
            self.timer.cancel()
            self.timer = None

    def is_reusable(self) -> bool:
        """Returns whether another request can be sent."""
        return self.keep_alive and not self.transport.is_closing()


class HttpClient:
    """Client that reuses idle connections; a context manager.

    Leaving the context closes the idle connections.

    Attributes:
        connect_timeout: Longest time to open a connection, in seconds.
    """

    def __init__(self, connect_timeout: float = 0.5):
        self.connect_timeout = connect_timeout
        self._idle: dict[str, collections.deque[Connection]] = {}

    def __enter__(self) -> "HttpClient":
        return self

    def __exit__(self, *_: object) -> None:
        for address in list(self._idle):
            self.close_idle_connections(address)

    def close_idle_connections(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.transport.abort()

    def idle_connection_count(self, address: str) -> int:
        """Returns the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    async def call(
        self,
        address: str,
        method_and_path: str,
        body: bytes,
        timeout: float,
        headers: str = "",
        idle_timeout: float | None = None,
        progress: ResponseProgress | None = None,
        process_id: Hashable | None = None,
    ) -> ClientResponse | CallFailed:
        """Sends one request and waits for the response; never retries.

        After a timeout the idle connections to the address are closed as well,
        because they may have failed for the same reason.

        Args:
            address: Address of the server, "IP:port".
            method_and_path: Method and path, such as "GET /v1/ready".
            body: Body of the request: JSON or empty.
            timeout: Longest time for connecting, request and response
                together, in seconds. With `idle_timeout`, until the response
                begins.
            headers: Additional header lines, each ending with CR LF.
            idle_timeout: Longest pause within the response, in seconds. For
                responses without an upper bound on their size: a limit on the
                whole would end each attempt at the same point on a slow link.
            progress: Updated while the response arrives.
            process_id: If not None, the request is sent only over a connection
                with this `process_id`, and a new one is not opened.

        Returns:
            The response, of any status, or the reason why there is none.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = self._pop_idle_connection(address, loop.time(), process_id)
        if connection is None and process_id is not None:
            return CallFailed(
                False, "no connection to the process", no_connection=True
            )
        if connection is None:
            opened = await self._connect(
                address, min(timeout, self.connect_timeout)
            )
            if isinstance(opened, CallFailed):
                return opened
            connection = opened
        request = (
            f"{method_and_path} HTTP/1.1\r\nHost: {address}\r\n{headers}"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            result = await connection.exchange(
                request + body,
                deadline,
                idle_timeout,
                progress or ResponseProgress(),
            )
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        if isinstance(result, CallFailed):
            connection.transport.abort()
            if result.reason == "timeout":
                self.close_idle_connections(address)
        elif connection.is_reusable():
            self._add_idle_connection(address, connection, loop.time())
        else:
            connection.transport.abort()
        return result

    def _pop_idle_connection(
        self, address: str, now: float, process_id: Hashable | None
    ) -> Connection | None:
        """Removes and returns the connection that was idle for the least time.

        Args:
            address: Address of the server.
            now: Loop time in seconds.
            process_id: If not None, connections to other or unknown processes
                are left where they are.
        """
        idle = self._idle.get(address, ())
        for connection in reversed(list(idle)):
            if (
                not connection.is_reusable()
                or now - connection.idle_since >= IDLE_TIMEOUT_S
            ):
                idle.remove(connection)
                connection.transport.abort()
            elif process_id in (None, connection.process_id):
                idle.remove(connection)
                return connection
        return None

    def _add_idle_connection(
        self, address: str, connection: Connection, now: float
    ) -> None:
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle_since = now
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().transport.abort()

    async def _connect(
        self, address: str, timeout: float
    ) -> "Connection | CallFailed":
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except TimeoutError:
            return CallFailed(False, "connect timeout")
        except ConnectionRefusedError:
            return CallFailed(
                False, "connection refused", connection_refused=True
            )
        except (OSError, ValueError) as error:
            return CallFailed(False, repr(error))
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection
