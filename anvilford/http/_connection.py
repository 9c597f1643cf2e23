"""Cheroot's server with cheaper connections."""

import io
import socket
from typing import Any

from cheroot import makefile
from cheroot import server
from cheroot import wsgi


class _Source(socket.SocketIO):
    """Raw socket file that can be kept from reading.

    Attributes:
        is_paused: True while reads end at once without data.
    """

    is_paused = False

    def readinto(self, buffer: Any) -> int | None:
        return None if self.is_paused else super().readinto(buffer)


class _Reader(io.BufferedReader):
    """Read file of a connection with what cheroot adds to one."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Tells whether bytes are buffered, without reading more."""
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:
    if "r" in mode:
        return _Reader(_Source(sock, "r"), size)
    return makefile.MakeFile(sock, mode, size)


class _Connection(server.HTTPConnection):
    """Connection that reads with the interpreter's own buffered reader.

    Cheroot uses the one written in Python, which takes a quarter of the time
    of its threads under the profiler, mainly for the lines of the head.

    Attributes:
        has_waited: True once the server has waited for its first request.
    """

    has_waited = False

    def __init__(self, http_server: Any, sock: socket.socket, *_: Any):
        super().__init__(http_server, sock, _make_file)


class _Parts:
    """Stands in for a connection's write file while an answer is made."""

    def __init__(self):
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.parts.append(data)


class _Gateway(wsgi.Gateway_10):
    """Gateway for applications whose answers fit in memory.

    Cheroot's own gateway writes head and body one after the other, which costs
    a second system call and wakes the caller before its answer is there.

    A connection whose request body has no declared length is closed after the
    answer. The applications refuse such a body unread, and the server would
    answer its bytes as a further request.
    """

    def respond(self) -> None:
        """Runs the application and sends its whole answer."""
        if self.req.chunked_read:
            self.req.close_connection = True
        connection = self.req.conn
        wfile = connection.wfile
        answer = _Parts()
        connection.wfile = answer
        try:
            super().respond()
        finally:
            connection.wfile = wfile
            if answer.parts:
                wfile.write(b"".join(answer.parts))


class HttpServer(wsgi.Server):
    """Server for applications whose answers fit in memory."""

    ConnectionClass = _Connection
    # Cheroot's default of 10 closes every further connection after its answer,
    # so that callers would connect anew for nearly half of their requests.
    keep_alive_conn_limit = 4096

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self.gateway = _Gateway

    def process_conn(self, conn: _Connection) -> None:
        """Gives a connection to a thread once it has sent something.

        Cheroot gives new ones to a thread at once. One that stays idle would
        occupy the thread for 10 s and then get a 408, which its caller would
        read as the answer to the request that it sends next.
        """
        if conn.has_waited:
            super().process_conn(conn)
        else:
            conn.has_waited = True
            self.put_conn(conn)
