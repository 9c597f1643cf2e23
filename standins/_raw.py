"""Scripted TCP server for responses that no HTTP server would send."""

import contextlib
import socket
import struct
import threading
import time
from typing import Any


class RawServer:
    """Accepts connections and runs one script on each; a context manager.

    A script is a list of steps: bytes are sent, a number sleeps for so many
    seconds, "read" reads one request, "hold" waits until the client sends a
    byte or closes, and "reset" makes the close of the connection a reset (RST).
    A function is called with the request last read, and its result is sent. The
    connection is closed at the end of the script.

    Attributes:
        address: "IP:port", once entered.
        scripts: One script for each connection, in the order of acceptance.
            Further connections remain unaccepted.
        requests: Text of all requests read.
        connections: Number of connections accepted.
        received_any: Whether a byte of a request arrived on any connection;
            final once `wait` has returned.
    """

    def __init__(self, *scripts: list[Any]):
        self.scripts = list(scripts)
        self.address = ""
        self.requests: list[str] = []
        self.connections = 0
        self.received_any = False
        self._players: list[threading.Thread] = []

    def __enter__(self) -> "RawServer":
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for script in self.scripts:
                sock, _ = self.listener.accept()
                self.connections += 1
                player = threading.Thread(
                    target=self._play, args=(sock, script), daemon=True
                )
                player.start()
                self._players.append(player)

    def wait(self) -> None:
        """Waits until the scripts of all accepted connections have ended."""
        for player in self._players:
            player.join()

    def _look_for_bytes(self, sock: socket.socket, flags: int = 0) -> None:
        if sock.recv(1, socket.MSG_PEEK | flags):
            self.received_any = True

    def _play(self, sock: socket.socket, script: list[Any]) -> None:
        request = ""
        with sock, contextlib.suppress(OSError):
            for step in script:
                match step:
                    case "read":
                        self._look_for_bytes(sock)
                        request = read_request(sock)
                        self.requests.append(request)
                    case "hold":
                        sock.recv(1)
                    case "reset":
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                    case bytes():
                        sock.sendall(step)
                    case _ if callable(step):
                        sock.sendall(step(request))
                    case _:
                        time.sleep(step)
            self._look_for_bytes(sock, socket.MSG_DONTWAIT)


def read_request(sock: socket.socket) -> str:
    """Reads one request and returns it as text.

    Raises:
        OSError: The client closed the connection before the end of the head.
    """
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
