"""Cheroot's server with the defaults that many callers need."""

from typing import Any

from cheroot import server
from cheroot import wsgi


class _Connection(server.HTTPConnection):
    """Connection of a caller.

    Attributes:
        awaited_first_request: True once the server has waited for its first request.
    """

    awaited_first_request = False


class _WriteBuffer:
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
        answer = _WriteBuffer()
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
        if conn.awaited_first_request:
            super().process_conn(conn)
        else:
            conn.awaited_first_request = True
            self.put_conn(conn)
