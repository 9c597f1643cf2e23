"""Gateway between cheroot and the HTTP applications."""

from cheroot import wsgi


class _Parts:
    """Stands in for a connection's write file while an answer is made."""

    def __init__(self):
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.parts.append(data)


class OneWriteGateway(wsgi.Gateway_10):
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
