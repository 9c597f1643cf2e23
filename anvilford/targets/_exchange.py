"""HTTP connections that track when the first byte of a request is sent."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Mapping
from typing import Any

import urllib3
import urllib3.connection

# Holds the exchange that the current thread performs, as
# `THREAD_LOCAL.exchange`. urllib3 has no other way to pass it to a connection.
THREAD_LOCAL = threading.local()


class NotSentError(Exception):
    """The request was abandoned before its first byte was written."""


class Exchange:
    """State of one request, shared by the event loop and a worker thread.

    The lock is shared by all exchanges of a client. It is held only for a few
    assignments or a socket shutdown, none of which block.

    Attributes:
        deadline: Monotonic time in seconds after which the request is not
            sent.
        lease_end: Monotonic time in seconds at which the target must stop the
            task.
        sent: True from just before the first byte is written; set by the
            worker thread.
        aborted: True once the request was abandoned.
        expired: True if a sent request was abandoned because the response was
            late.
        outcome: Future of the attempt's outcome; used on the event loop's
            thread only.
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
        """Records that this exchange uses a connection from now on."""
        with self._lock:
            connection.exchange = self
            self._connection = connection

    def lease_ms(self) -> int:
        """Returns the time left of the lease, in milliseconds.

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

        Args:
            sock: Socket that the bytes are written to.

        Raises:
            NotSentError: The exchange was aborted before the first byte.
        """
        with self._lock:
            if self.aborted and not self.sent:
                raise NotSentError
            self.sent = True
            self._socket = sock

    def abort(self, expired: bool = False) -> bool:
        """Abandons the request and wakes a thread that waits for its response.

        Args:
            expired: Whether the reason is a late response.

        Returns:
            True if no byte was written; then none will be written later.
        """
        with self._lock:
            self.aborted = True
            if not self.sent:
                return True
            self.expired = self.expired or expired
            connection = self._connection
            # The connection may already serve the request of another exchange.
            if connection.exchange is self:
                connection.is_shut_down = True
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)
            return False

    def abort_unsent(self) -> bool:
        """Abandons the request if no byte was written.

        Returns:
            True if no byte was written; then none will be written later.
        """
        with self._lock:
            if not self.sent:
                self.aborted = True
            return not self.sent


class TargetConnection(urllib3.connection.HTTPConnection):
    """Connection that marks an exchange as sent before its first byte.

    Attributes:
        idle_seconds: Longest idle time after which the connection is used
            again.
        exchange: Exchange that used the connection last, or uses it now.
        is_shut_down: True if an aborted exchange has shut down the socket; the
            connection is then reopened for the next request.
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
        """Sends a request, on a new connection if this one is unusable.

        A connection is unusable if it was shut down or idle for too long. The
        remaining lease is added to the headers of a POST request.

        Raises:
            NotSentError: The request was aborted, or its deadline or lease
                ended, before the first byte was written.
        """
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
        # The base class would use the connect timeout for sending as well.
        self.timeout = lease_ms / 1000
        if method == "POST":
            headers = {**headers, "Anvilford-Lease-Ms": str(lease_ms)}
        self._buffered_chunks.clear()
        super().request(method, url, body=body, headers=headers, **options)
        exchange.mark_sent(self.sock)
        super().send(b"".join(self._buffered_chunks))

    def send(self, data: Any) -> None:
        """Buffers bytes, which `request` sends together.

        The base class sends the head and the body separately, which costs a
        second system call and wakes the target before the body has arrived.
        """
        self._buffered_chunks.append(data)

    def getresponse(self) -> Any:
        """Reads the head of a response and records its time."""
        response = super().getresponse()
        # The time to read the body counts as idle time as well, so a connection
        # is replaced too early rather than too late.
        self._last_response_at = time.monotonic()
        return response


class TargetPool(urllib3.HTTPConnectionPool):
    """Pool of `TargetConnection`s to one target."""

    ConnectionCls = TargetConnection
