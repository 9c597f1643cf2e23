"""Minimal HTTP/1.1 keep-alive server that can also send broken responses."""

import asyncio
import contextlib
import http
import json
import socket
import threading
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import attrs

# Connections that the kernel queues until they are accepted.
BACKLOG = 512


@attrs.frozen(eq=False)
class Connection:
    """An accepted connection.

    Attributes:
        reader: Stream of bytes from the client.
        writer: Stream of bytes to the client.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_closed(self) -> bool:
        """Whether client or server closed the connection.

        Stays up to date while a handler runs.
        """
        return self.reader.at_eof() or self.writer.is_closing()


@attrs.frozen
class Request:
    """A request as a handler receives it.

    Attributes:
        method: HTTP method.
        path: Path segments, percent-decoded.
        query: Query parameters by name; the last one if a name is repeated.
        headers: Values by lower-case name.
        body: Body as received, undecoded.
        connection: Connection on which the request arrived.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: Connection

    def json(self) -> Any:
        """Returns the body decoded as JSON.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)


@attrs.frozen
class Response:
    """A response of a handler.

    Attributes:
        status: HTTP status.
        body: Complete body.
        truncate: Whether to send only half of the body and then close the
            connection.
    """

    status: int
    body: bytes
    truncate: bool = False


Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(status: int, document: Any, truncate=False) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(document).encode(), truncate)


def update_faults(faults: Any, changes: dict[str, Any]) -> Any:
    """Returns a copy of an attrs instance of faults with some fields replaced.

    Raises:
        ValueError: A name is not a field of the class.
    """
    unknown = set(changes) - set(attrs.fields_dict(type(faults)))
    if unknown:
        raise ValueError(
            f"unknown faults {sorted(unknown)}; known are "
            f"{sorted(attrs.fields_dict(type(faults)))}"
        )
    return attrs.evolve(faults, **changes)


class HttpServer:
    """Serves a handler on an event loop in a thread of its own.

    Attributes:
        address: "IP:port"; port 0 is replaced by the bound port on entry.
        handler: Coroutine function that returns the response to a request, or
            None to close the connection without one.
        on_closed: Called with each connection once it has ended.
        loop: The event loop, None before entry.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        closed: Callable[[Connection], None] = lambda connection: None,
    ):
        self.address = address
        self.handler = handler
        self.on_closed = closed
        self.loop: asyncio.AbstractEventLoop | None = None
        self._tasks: set[asyncio.Task] = set()
        # Accepted sockets that do not have streams yet.
        self._sockets: set[socket.socket] = set()

    def __enter__(self) -> "HttpServer":
        # The calling thread may run another event loop, so everything that
        # needs this loop runs in the new thread.
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()
        try:
            self.address = self._run_on_loop(self._listen())
        except OSError:
            self._stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._run_on_loop(self._close())
        self._stop()

    def _run_on_loop(self, coroutine: Coroutine) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def _stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _listen(self) -> str:
        host, _, port = self.address.rpartition(":")
        # asyncio's server and `sock_accept` log errors if they are stopped just
        # when a connection arrives, which happens often in tests that restart
        # servers. A listening socket with a reader callback does not.
        self._listener = socket.create_server(
            (host, int(port)), backlog=BACKLOG
        )
        self._listener.setblocking(False)
        self.loop.add_reader(self._listener, self._accept)
        real = self._listener.getsockname()
        return f"{real[0]}:{real[1]}"

    async def _close(self) -> None:
        self.loop.remove_reader(self._listener)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in (self._listener, *self._sockets):
            sock.close()
        # An aborted transport closes its socket in the next loop iteration.
        await asyncio.sleep(0)

    def _start_task(self, coroutine: Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            sock, _ = self._listener.accept()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
            self._start_task(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self._sockets.discard(sock)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await _read_request(connection)
                response = await self._respond(request)
                if response is None:
                    break
                writer.write(_encode(response))
                await writer.drain()
                if response.truncate:
                    writer.close()
                    return
        except (EOFError, OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.on_closed(connection)
            if not writer.is_closing():
                writer.transport.abort()

    async def _respond(self, request: Request) -> Response | None:
        try:
            return await self.handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return json_response(
                400, {"type": "invalid", "message": str(error)}
            )


async def _read_request(connection: Connection) -> Request:
    reader = connection.reader
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urllib.parse.urlsplit(target)
    return Request(
        method,
        tuple(urllib.parse.unquote(s) for s in parts.path.split("/")[1:]),
        dict(urllib.parse.parse_qsl(parts.query)),
        headers,
        body,
        connection,
    )


def _encode(response: Response) -> bytes:
    phrase = http.HTTPStatus(response.status).phrase
    head = (
        f"HTTP/1.1 {response.status} {phrase}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    ).encode()
    body = response.body
    return head + (body[: len(body) // 2] if response.truncate else body)
