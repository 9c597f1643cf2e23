"""What the tests of the target client share."""

import asyncio
import contextlib
import json
import socket
import struct
import threading
import time

import attrs

from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.model import TaskSpec
from anvilford.model import UnknownAttemptReason
from anvilford.targets import TargetClient
from anvilford.targets import TargetSettings

SETTINGS = TargetSettings(grace_ms=40, response_bytes=2000, threads=16)
NOT_SENT = AttemptNotStarted(NotStartedReason.NOT_SENT)
REFUSED = AttemptNotStarted(NotStartedReason.CONNECTION_REFUSED)
LOST = AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
TIMEOUT = AttemptUnknown(UnknownAttemptReason.TIMEOUT)
BAD = AttemptUnknown(UnknownAttemptReason.BAD_RESPONSE)
MISMATCH = AttemptUnknown(UnknownAttemptReason.ATTEMPT_MISMATCH)


@attrs.frozen
class Attempt:
    """Stands for the scheduler's effects."""

    address: str
    deadline: float
    payload: object = None
    attempt_id: str = "a/1"
    target_id: str = "t1"

    @property
    def task(self):
        """The task to run."""
        return TaskSpec("op", self.payload)


class RawTarget:
    """Accepts connections and plays one script for each request.

    A script is a list of bytes to send and of steps: "read" reads a request,
    "hold" waits until the client closes, "reset" resets the connection, a
    number sleeps. The connection is closed at the end of the script.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0

    def __enter__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            for script in self.scripts:
                sock, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._play, args=(sock, script), daemon=True
                ).start()

    def _play(self, sock, script):
        with sock, contextlib.suppress(OSError):
            for step in script:
                match step:
                    case "read":
                        self.requests.append(read_request(sock))
                    case "hold":
                        sock.recv(1)
                    case "reset":
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                    case bytes():
                        sock.sendall(step)
                    case _:
                        time.sleep(step)


def read_request(sock):
    """Reads one request and returns it as text."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65536)
        if not received:
            raise OSError
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += sock.recv(65536)
    return (head + b"\r\n\r\n" + body).decode()


def answer(status, document, extra="", length=None, **changes):
    """Encodes an answer; `length` overrides the true length."""
    if isinstance(document, dict):
        document = json.dumps({"attempt": "a/1", **document, **changes})
    body = document.encode()
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{extra}\r\n"
    return head.encode() + body


def run(address, *attempts, settings=SETTINGS, connections=4, lease_ms=9000):
    """Starts attempts one after the other and returns their outcomes."""

    async def start():
        outcomes = []
        with TargetClient(settings, lambda _: connections) as client:
            for deadline, payload in attempts or ((2.0, None),):
                attempt = Attempt(address, time.monotonic() + deadline, payload)
                outcomes.append(await client.start(attempt, lease_ms, "00-t"))
        return outcomes

    return asyncio.run(start())
