"""A small HTTP/1.1 keep-alive server whose answers can be damaged."""

import asyncio
import http
import json
import threading
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
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
    def ended(self) -> bool:
        """True once either side has closed it, even while a handler runs."""
        return self.reader.at_eof() or self.writer.is_closing()


@attrs.frozen
class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Path segments, percent-decoded.
        headers: Values by lower-case name.
        body: Body as received.
        connection: The connection that the request came on.
    """

    method: str
    path: tuple[str, ...]
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
        self.closed = closed
        self.loop: asyncio.AbstractEventLoop | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def __enter__(self) -> "HttpServer":
        host, _, port = self.address.rpartition(":")
        self.loop = asyncio.new_event_loop()
        opening = asyncio.start_server(
            self._serve, host, int(port), backlog=BACKLOG
        )
        try:
            self._server = self.loop.run_until_complete(opening)
        except OSError:
            self.loop.close()
            raise
        real = self._server.sockets[0].getsockname()
        self.address = f"{real[0]}:{real[1]}"
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.loop.run_until_complete(self._finish())
        self.loop.close()

    async def _finish(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
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
        except asyncio.CancelledError:
            # Streams log a cancelled connection handler as an error.
            pass
        finally:
            self._writers.discard(writer)
            self.closed(connection)
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
    path = urllib.parse.urlsplit(target).path
    segments = (urllib.parse.unquote(s) for s in path.split("/")[1:])
    return Request(method, tuple(segments), headers, body, connection)


def _encode(response: Response) -> bytes:
    phrase = http.HTTPStatus(response.status).phrase
    head = (
        f"HTTP/1.1 {response.status} {phrase}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    ).encode()
    body = response.body
    return head + (body[: len(body) // 2] if response.truncate else body)
