"""A small HTTP/1.1 keep-alive server whose answers can be damaged."""

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

BACKLOG = 512


@attrs.frozen(eq=False)
class Connection:
    """One accepted connection.

    Attributes:
        reader: What the client sends.
        writer: What the client receives.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_closed(self) -> bool:
        """True once either side has closed it, even while a handler runs."""
        return self.reader.at_eof() or self.writer.is_closing()


@attrs.frozen
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path segments, percent-decoded.
        query: Query parameters; the last of each name.
        headers: Values by lower-case name.
        body: Body as received.
        connection: The connection that the request came on.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: Connection

    def json(self) -> Any:
        """Decodes the body.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)


@attrs.frozen
class Response:
    """One answer.

    Attributes:
        status: HTTP status.
        body: Whole body.
        truncate: Send half of the body, then close the connection.
    """

    status: int
    body: bytes
    truncate: bool = False


Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(status: int, document: Any, truncate=False) -> Response:
    """Makes an answer with a JSON body."""
    return Response(status, json.dumps(document).encode(), truncate)


def update_faults(faults: Any, changes: dict[str, Any]) -> Any:
    """Returns a copy of an attrs class of faults with some values replaced.

    Raises:
        ValueError: A name is not one of the faults.
    """
    unknown = set(changes) - set(attrs.fields_dict(type(faults)))
    if unknown:
        raise ValueError(f"unknown faults: {sorted(unknown)}")
    return attrs.evolve(faults, **changes)


class HttpServer:
    """Serves a handler on its own event loop and thread.

    Attributes:
        address: "IP:port"; the real port once started.
        handler: Coroutine function; None as its answer closes the connection.
        closed: Called with the connection when one has ended.
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
        # Accepted, but not yet handed to a stream.
        self._sockets: set[socket.socket] = set()

    def __enter__(self) -> "HttpServer":
        # The caller's thread may run a loop of its own, so everything that
        # needs this loop happens on the new thread.
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()
        try:
            self.address = self._call(self._open())
        except OSError:
            self._stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._call(self._finish())
        self._stop()

    def _call(self, coroutine: Coroutine) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def _stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _open(self) -> str:
        host, _, port = self.address.rpartition(":")
        # asyncio's server and `sock_accept` log errors if they are ended just
        # as a connection arrives, which tests with restarts do all the time.
        self._listener = socket.create_server(
            (host, int(port)), backlog=BACKLOG
        )
        self._listener.setblocking(False)
        self.loop.add_reader(self._listener, self._accept)
        real = self._listener.getsockname()
        return f"{real[0]}:{real[1]}"

    async def _finish(self) -> None:
        self.loop.remove_reader(self._listener)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in (self._listener, *self._sockets):
            sock.close()
        # An aborted transport closes its socket one turn of the loop later.
        await asyncio.sleep(0)

    def _start(self, coroutine: Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            sock, _ = self._listener.accept()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
            self._start(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self._sockets.discard(sock)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await _read_request(connection)
                response = await self._answer(request)
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

    async def _answer(self, request: Request) -> Response | None:
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
