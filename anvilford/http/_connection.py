"""Cheroot's HTTP server, adapted to many keep-alive connections."""

from typing import Any

from cheroot import server
from cheroot import wsgi


class _Connection(server.HTTPConnection):
    """A connection of a client.

    Attributes:
        awaited_first_request: True once the connection was passed to the
            selector, which reports when the first request arrives.
    """

    awaited_first_request = False


class _WriteBuffer:
    """Collects what is written to a connection while a response is produced.

    Attributes:
        parts: Data of each write, in order.
    """

    def __init__(self):
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.parts.append(data)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that sends a whole response with one write.

    Responses must fit in memory. Cheroot's own gateway writes header and body
    separately, which costs a second system call and wakes the client before the
    body has arrived.

    A connection whose request has a chunked body is closed after the response.
    The applications reject such a body without reading it, and the server would
    parse its bytes as another request.
    """

    def respond(self) -> None:
        """Runs the application and sends its response."""
        if self.req.chunked_read:
            self.req.close_connection = True
        connection = self.req.conn
        wfile = connection.wfile
        buffer = _WriteBuffer()
        connection.wfile = buffer
        try:
            super().respond()
        finally:
            connection.wfile = wfile
            if buffer.parts:
                wfile.write(b"".join(buffer.parts))


class HttpServer(wsgi.Server):
    """HTTP server for WSGI applications whose responses fit in memory."""

    ConnectionClass = _Connection
    # With Cheroot's default of 10, all further connections are closed after
    # their response; clients then opened a new connection for nearly half of
    # their requests.
    keep_alive_conn_limit = 4096

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self.gateway = _Gateway

    def process_conn(self, conn: _Connection) -> None:
        """Passes a connection to a thread once data has arrived on it.

        Cheroot passes new connections to a thread at once. An idle one occupies
        the thread for 10 s and then receives a 408 response, which the client
        reads as the response to its next request.
        """
        if conn.awaited_first_request:
            super().process_conn(conn)
        else:
            conn.awaited_first_request = True
            self.put_conn(conn)
