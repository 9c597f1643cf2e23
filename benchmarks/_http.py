"""Keep-alive HTTP client on asyncio for load generation.

The project's own client uses threads, which would distort the measured times at
256 connections. This client also counts the connection failures that a caller
would notice.
"""

import asyncio
import contextlib
import json
from typing import Any

import attrs

MAX_HEADER_BYTES = 64 * 1024
# Raised by reads and writes if the connection ended or the received bytes are
# not valid HTTP.
_CONNECTION_ERRORS = (EOFError, OSError, ValueError, asyncio.LimitOverrunError)


class ConnectionLostError(Exception):
    """The connection ended between the request and its complete response."""


class ConnectError(Exception):
    """The connection could not be established, so nothing was sent."""


@attrs.frozen
class Response:
    """HTTP response.

    Attributes:
        status: HTTP status.
        body: Complete body.
    """

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.define
class ConnectionCounts:
    """Numbers of events on the connections to one address.

    Attributes:
        opened: Connections that were established.
        refused: Connections that could not be established.
        idle_closes: Connections that the server closed while they were idle.
        resets: Connections that ended between a request and its response.
        timeouts: Requests that the client abandoned at their timeout.
    """

    opened: int = 0
    refused: int = 0
    idle_closes: int = 0
    resets: int = 0
    timeouts: int = 0


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ConnectionPool:
    """Pool of keep-alive connections to one address.

    It is an async context manager, which closes the connections at its end.

    Attributes:
        address: Server address as "IP:port".
        max_connections: Largest number of connections. A request that finds
            all of them in use waits for one.
        counts: Connection events so far.
    """

    def __init__(self, address: str, max_connections: int):
        self.address = address
        self.max_connections = max_connections
        self.counts = ConnectionCounts()
        self._idle: list[Stream] = []

    async def __aenter__(self) -> "ConnectionPool":
        self._free_connections = asyncio.Semaphore(self.max_connections)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for _, writer in self._idle:
            writer.close()
        for _, writer in self._idle:
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        self._idle.clear()

    async def open_all(self) -> None:
        """Opens all connections, to exclude this from the measurement."""
        streams = await asyncio.gather(
            *(self._open() for _ in range(self.max_connections))
        )
        self._idle.extend(streams)

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        document: Any,
        timeout: float,
    ) -> Response:
        """Sends one request and returns the response.

        Args:
            method: HTTP method.
            path: Encoded path and query.
            headers: Headers besides those for host, body type and length.
            document: Value that is sent as the JSON body.
            timeout: Timeout in seconds, including the wait for a connection.

        Raises:
            ConnectError: No connection could be established.
            ConnectionLostError: The connection ended before the response.
            TimeoutError: No response arrived within the timeout.
        """
        message = self._encode_request(method, path, headers, document)
        try:
            async with asyncio.timeout(timeout), self._free_connections:
                return await self._send(message)
        except TimeoutError:
            self.counts.timeouts += 1
            raise

    def _encode_request(
        self, method: str, path: str, headers: dict[str, str], document: Any
    ) -> bytes:
        body = json.dumps(document, separators=(",", ":")).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.address}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _send(self, message: bytes) -> Response:
        reader, writer = await self._acquire()
        keep_alive = False
        try:
            writer.write(message)
            await writer.drain()
            response, keep_alive = await _read_response(reader)
            return response
        except _CONNECTION_ERRORS as error:
            # TimeoutError is a subclass of OSError, but is counted elsewhere.
            if isinstance(error, TimeoutError):
                raise
            self.counts.resets += 1
            raise ConnectionLostError from error
        finally:
            if keep_alive:
                self._idle.append((reader, writer))
            else:
                writer.transport.abort()

    async def _acquire(self) -> Stream:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            self.counts.idle_closes += 1
            writer.close()
        return await self._open()

    async def _open(self) -> Stream:
        host, _, port = self.address.rpartition(":")
        try:
            stream = await asyncio.open_connection(
                host, int(port), limit=MAX_HEADER_BYTES
            )
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            self.counts.refused += 1
            raise ConnectError from error
        self.counts.opened += 1
        return stream


async def _read_response(reader: asyncio.StreamReader) -> tuple[Response, bool]:
    """Reads a response; the second result is whether to keep the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.rstrip("\r\n").split("\r\n")
    status = int(status_line.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip().lower()
    keep_alive = headers.get("connection") != "close"
    if headers.get("transfer-encoding") == "chunked":
        return Response(status, await _read_chunks(reader)), keep_alive
    if "content-length" in headers:
        length = int(headers["content-length"])
        return Response(status, await reader.readexactly(length)), keep_alive
    return Response(status, await reader.read()), False


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        chunks.append(await reader.readexactly(size))
        await reader.readuntil(b"\r\n")
        if size == 0:
            return b"".join(chunks)
