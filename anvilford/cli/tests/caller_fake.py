"""HTTP server that answers as a callers' listener, following a script."""

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
    """Answers of the server and the requests that it received.

    Attributes:
        answers: Answers to the PUT requests in turn: a pair (status, body), or
            `DROP` to close the connection without an answer. The server
            removes each answer that it has used.
        received: Pairs (path, job) of the PUT requests, added by the server.
        ids_issued: Number of requests for ids, counted by the server.
    """

    answers: list = attrs.field(factory=list)
    received: list = attrs.field(factory=list)
    ids_issued: int = 0


class Handler(server.BaseHTTPRequestHandler):
    """Answers requests from the script of its server."""

    def do_POST(self):  # noqa: N802 (name given by http.server)
        """Answers every request for ids with `SUBMISSION_ID`."""
        self.read_body()
        self.server.script.ids_issued += 1
        self.reply(200, {"ids": [SUBMISSION_ID]})

    def do_PUT(self):  # noqa: N802 (name given by http.server)
        """Records a job and gives the next answer of the script."""
        script = self.server.script
        script.received.append((self.path, self.read_body()))
        answer = script.answers.pop(0)
        if answer == DROP:
            self.close_connection = True
        else:
            self.reply(*answer)

    def read_body(self):
        """Returns the decoded JSON body of the request."""
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def reply(self, status, body):
        """Sends a response with a JSON body."""
        encoded = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    def log_message(self, format, *args):  # noqa: A002
        """Logs nothing, to keep requests out of the test output."""


@contextlib.contextmanager
def serve_callers(script: CallerScript) -> Iterator[str]:
    """Serves the script on a free port of 127.0.0.1; yields "IP:port"."""
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
