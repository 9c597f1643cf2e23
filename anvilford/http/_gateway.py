"""Sends the head and the body of an answer together."""

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
    """

    def respond(self) -> None:
        """Runs the application and sends its whole answer."""
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
