"""Keep-alive client: one exchange at a time on each connection."""

import asyncio
import collections
import socket

import attrs
import httptools

# Idle connections are closed after this long; servers on the platform close
# theirs after 15 s, and a request must not meet that close.
IDLE_TIMEOUT_S = 8.0
# Most idle connections kept for one address.
MAX_IDLE_CONNECTIONS = 8
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class ClientResponse:
    """A complete response."""

    status: int
    body: bytes


@attrs.frozen
class CallFailed:
    """No complete response.

    Attributes:
        sent: False if no byte of the request was written.
        reason: Short term for logs.
        connection_refused: True if the peer's machine refused the connection.
    """

    sent: bool
    reason: str
    connection_refused: bool = False


class _Connection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.response_future: asyncio.Future | None = None
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.keep_alive = True
        self.idle_since = 0.0
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("malformed response")

    def connection_lost(self, exc: Exception | None) -> None:
        self.keep_alive = False
        reason = "connection closed" if exc is None else repr(exc)
        self._fail(reason)

    def _fail(self, reason: str) -> None:
        self.keep_alive = False
        if self.response_future is not None and not self.response_future.done():
            self.response_future.set_result(CallFailed(True, reason))
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the parser.

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_RESPONSE_BODY_BYTES:
            self._fail("response too large")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()
        if self.response_future is not None and not self.response_future.done():
            self.response_future.set_result(
                ClientResponse(status, b"".join(self.body_parts))
            )

    def send_request(self, request: bytes) -> asyncio.Future:
        """Writes a request; the future becomes its answer or failure."""
        self.body_parts = []
        self.body_size = 0
        self.response_future = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.response_future

    def is_reusable(self) -> bool:
        """Whether another exchange can begin."""
        return self.keep_alive and not self.transport.is_closing()


class HttpClient:
    """Calls servers over pooled connections; a context manager.

    Attributes:
        connect_timeout: Seconds for opening a connection.
    """

    def __init__(self, connect_timeout: float = 0.5):
        self.connect_timeout = connect_timeout
        self._idle: dict[str, collections.deque[_Connection]] = {}

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
        """Number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    async def call(
        self,
        address: str,
        method_and_path: str,
        body: bytes,
        timeout: float,
        headers: str = "",
    ) -> ClientResponse | CallFailed:
        """Performs one exchange; nothing is sent twice.

        After a timeout the idle connections to the address are closed too,
        because all may have gone silent together.

        Args:
            address: "IP:port".
            method_and_path: Method and path, e.g. "GET /v1/ready".
            body: Body, JSON or empty.
            timeout: Seconds for the whole exchange.
            headers: Further header lines, each ending with CR LF.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = self._pop_idle_connection(address, loop.time())
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
        response_future = connection.send_request(request + body)
        timer = loop.call_at(deadline, _fail_with_timeout, response_future)
        try:
            result = await response_future
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        finally:
            timer.cancel()
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
        self, address: str, now: float
    ) -> _Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if (
                connection.is_reusable()
                and now - connection.idle_since < IDLE_TIMEOUT_S
            ):
                return connection
            connection.transport.abort()
        return None

    def _add_idle_connection(
        self, address: str, connection: _Connection, now: float
    ) -> None:
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle_since = now
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().transport.abort()

    async def _connect(
        self, address: str, timeout: float
    ) -> "_Connection | CallFailed":
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    _Connection, host, int(port)
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


def _fail_with_timeout(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(CallFailed(True, "timeout"))
