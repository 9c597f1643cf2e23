"""One request to a target: when its first byte is sent, and how it is ended."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Mapping
from typing import Any

import urllib3
import urllib3.connection

# The exchange that the calling thread performs, as `THREAD_LOCAL.exchange`; urllib3
# offers no other way to hand it to the connection.
THREAD_LOCAL = threading.local()


class NotSentError(Exception):
    """The request was given up before its first byte was written."""


class Exchange:
    """State of one request, shared by the loop and a worker thread.

    The lock is shared by all exchanges of a client and only ever held for a
    few assignments or a socket shutdown, none of which block.

    Attributes:
        deadline: Monotonic time after which the request is not sent.
        lease_end: Monotonic time at which the target must stop the task.
        sent: True from just before the first byte is written.
        aborted: True once the request was given up.
        expired: True if it was given up because the answer was late.
        outcome: Receives the outcome; used by the loop's thread only.
    """

    def __init__(self, deadline: float, lease_end: float, lock: threading.Lock):
        self.deadline = deadline
        self.lease_end = lease_end
        self.sent = False
        self.aborted = False
        self.expired = False
        self.outcome: asyncio.Future | None = None
        self._lock = lock
        self._connection: TargetConnection | None = None
        self._socket: socket.socket | None = None

    def bind_connection(self, connection: "TargetConnection") -> None:
        """Makes this the exchange that uses a connection."""
        with self._lock:
            connection.exchange = self
            self._connection = connection

    def lease_ms(self) -> int:
        """Computes the lease at the moment of sending.

        Raises:
            NotSentError: The deadline or the lease is over.
        """
        now = time.monotonic()
        lease_ms = int((self.lease_end - now) * 1000)
        if now >= self.deadline or lease_ms <= 0:
            raise NotSentError
        return lease_ms

    def mark_sent(self, sock: socket.socket) -> None:
        """Records that bytes are about to be written.

        Raises:
            NotSentError: The exchange was aborted before the first byte.
        """
        with self._lock:
            if self.aborted and not self.sent:
                raise NotSentError
            self.sent = True
            self._socket = sock

    def abort(self, expired: bool = False) -> bool:
        """Gives the request up; a thread that waits for its answer wakes.

        Returns:
            True if no byte was written; none will be from now on.
        """
        with self._lock:
            self.aborted = True
            if not self.sent:
                return True
            self.expired = self.expired or expired
            connection = self._connection
            # The connection may already carry the request of another exchange.
            if connection.exchange is self:
                connection.is_shut_down = True
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)
            return False

    def abort_unsent(self) -> bool:
        """Gives the request up if no byte was written.

        Returns:
            True if no byte was written; none will be from now on.
        """
        with self._lock:
            if not self.sent:
                self.aborted = True
            return not self.sent


class TargetConnection(urllib3.connection.HTTPConnection):
    """Connection that reports the first byte of each request.

    Attributes:
        idle_seconds: Longest idle time before reuse.
        exchange: The exchange that used the connection last.
        is_shut_down: True if an aborted exchange has shut the socket down.
    """

    def __init__(self, *args: Any, idle_seconds: float, **options: Any):
        super().__init__(*args, **options)
        self.idle_seconds = idle_seconds
        self.exchange: Exchange | None = None
        self.is_shut_down = False
        self._last_response_at = 0.0
        self._buffered_chunks: list[bytes] = []

    def request(  # See the base class.
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        **options: Any,
    ) -> None:
        """Sends a request on a connection that is fit for it."""
        exchange: Exchange = THREAD_LOCAL.exchange
        exchange.bind_connection(self)
        idle = time.monotonic() - self._last_response_at
        if self.sock is not None and (
            self.is_shut_down or idle > self.idle_seconds
        ):
            self.close()
        if self.sock is None:
            self.connect()
            self.is_shut_down = False
        lease_ms = exchange.lease_ms()
        # The base class would apply the connect timeout to the sending.
        self.timeout = lease_ms / 1000
        if method == "POST":
            headers = {**headers, "Anvilford-Lease-Ms": str(lease_ms)}
        self._buffered_chunks.clear()
        super().request(method, url, body=body, headers=headers, **options)
        exchange.mark_sent(self.sock)
        super().send(b"".join(self._buffered_chunks))

    def send(self, data: Any) -> None:
        """Collects bytes; `request` sends them together.

        The base class sends head and body one after the other, which costs a
        second system call and wakes the target before the body is there.
        """
        self._buffered_chunks.append(data)

    def getresponse(self) -> Any:
        """Reads the head of a response."""
        response = super().getresponse()
        # Reading the body adds to this, so the idle time errs to the long
        # side and the connection is closed rather too early.
        self._last_response_at = time.monotonic()
        return response


class TargetPool(urllib3.HTTPConnectionPool):
    """Connections to one target."""

    ConnectionCls = TargetConnection
