"""HTTP/1.1 client with pooled connections and without pipelining."""

import asyncio
import collections
import socket

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
    """

    status: int
    body: bytes


@attrs.frozen
class CallFailed:
    """A call that did not get a complete response.

    Attributes:
        sent: False if no byte of the request was written, so that the server
            cannot have received it.
        reason: Short text for logs.
        connection_refused: True if the server's machine refused the
            connection.
    """

    sent: bool
    reason: str
    connection_refused: bool = False


@attrs.define
class ResponseProgress:
    """How much of a response has arrived; updated during the call.

    Attributes:
        received_bytes: Bytes received, with headers and transfer encoding.
    """

    received_bytes: int = 0


class _Connection(asyncio.Protocol):
    """A connection that carries one request and its response at a time.

    Attributes:
        transport: Transport of the connection; None until it is open.
        response_future: Result of the current or last call: a
            `ClientResponse` or a `CallFailed`.
        body_parts: Parts of the response body received so far.
        body_size: Their total length in bytes.
        progress: Progress of the current or last call.
        keep_alive: False once the connection must not be used for another
            request.
        idle_since: Loop time in seconds at which the last call ended.
        parser: Parser of the responses.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.response_future: asyncio.Future | None = None
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.progress = ResponseProgress()
        self.keep_alive = True
        self.idle_since = 0.0
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.progress.received_bytes += len(data)
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

    # The parser calls the `on_*` methods from `data_received`.

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

    def send_request(
        self, request: bytes, progress: ResponseProgress
    ) -> asyncio.Future:
        """Writes a request.

        Args:
            request: The request.
            progress: Updated while the response arrives.

        Returns:
            A future that receives a `ClientResponse` or a `CallFailed`.
        """
        self.body_parts = []
        self.body_size = 0
        self.progress = progress
        self.response_future = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.response_future

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
        """Returns the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    async def call(
        self,
        address: str,
        method_and_path: str,
        body: bytes,
        timeout: float,
        headers: str = "",
        progress: ResponseProgress | None = None,
    ) -> ClientResponse | CallFailed:
        """Sends one request and waits for the response; never retries.

        After a timeout the idle connections to the address are closed as well,
        because they may have failed for the same reason.

        Args:
            address: Address of the server, "IP:port".
            method_and_path: Method and path, such as "GET /v1/ready".
            body: Body of the request: JSON or empty.
            timeout: Longest time for connecting, request and response
                together, in seconds.
            headers: Additional header lines, each ending with CR LF.
            progress: Updated while the response arrives.

        Returns:
            The response, of any status, or the reason why there is none.
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
        response_future = connection.send_request(
            request + body, progress or ResponseProgress()
        )
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
