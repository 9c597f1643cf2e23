"""A scripted callers' listener."""

import contextlib
import json
import threading
from collections.abc import Iterator
from http import server

import attrs

SUBMISSION_ID = "quimper-a~10.0.0.1:7102~a1b2~7~f00"
DROP = "drop"


@attrs.define
class CallerScript:
    """What the listener does.

    Attributes:
        answers: For each PUT in turn (status, body), or `DROP` to close the
            connection without an answer.
        received: Paths and jobs of the PUT requests.
        ids_issued: Number of ids taken.
    """

    answers: list = attrs.field(factory=list)
    received: list = attrs.field(factory=list)
    ids_issued: int = 0


class Handler(server.BaseHTTPRequestHandler):
    """Answers as the script of its server tells."""

    def do_POST(self):  # noqa: N802 (name given by http.server)
        """Issues an id."""
        self.read_body()
        self.server.script.ids_issued += 1
        self.reply(200, {"ids": [SUBMISSION_ID]})

    def do_PUT(self):  # noqa: N802 (name given by http.server)
        """Receives a job."""
        script = self.server.script
        script.received.append((self.path, self.read_body()))
        answer = script.answers.pop(0)
        if answer == DROP:
            self.close_connection = True
        else:
            self.reply(*answer)

    def read_body(self):
        """Reads the JSON body."""
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def reply(self, status, body):
        """Sends a JSON response."""
        encoded = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    def log_message(self, format, *args):  # noqa: A002
        """Keeps requests out of the test output."""


@contextlib.contextmanager
def serve_callers(script: CallerScript) -> Iterator[str]:
    """Serves the script on a free loopback port and yields its address."""
    listener = server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    listener.script = script
    listener.daemon_threads = True
    thread = threading.Thread(target=listener.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield f"127.0.0.1:{listener.server_port}"
    finally:
        listener.shutdown()
        listener.server_close()
        thread.join(5)
