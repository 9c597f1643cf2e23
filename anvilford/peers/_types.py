"""Limits and failures of the connections between entry daemons."""

import enum
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from anvilford.model import Incarnation
from anvilford.protocol import Message

MessageHandler = Callable[[Incarnation, Message], Awaitable[Message | None]]


class CounterSink(typing.Protocol):
    """The part of `telemetry.Counters` that connections use."""

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a latency."""


@attrs.frozen
class PeerLimits:
    """Bounds on connections between entry daemons; times in seconds.

    Attributes:
        max_frame_bytes: Largest frame. The largest job of 4 MiB must fit, and so
            must an answer to it.
        max_hello_bytes: Largest first frame, from a peer not yet authenticated.
        hello_timeout_s: From the connection's start to its `Hello`.
        max_connections: Most incoming connections.
        max_concurrent_messages: Most messages handled at once per incoming connection;
            further ones stay unread.
        max_queued_messages: Most one-way messages waiting per peer.
        connect_timeout_s: For opening a connection.
        min_backoff_s: Pause after a first failure; doubles with each further
            one.
        max_backoff_s: Longest pause, and how long a connection must last to
            count as good.
        unacknowledged_timeout_s: Age of unacknowledged data at which the kernel
            drops a connection. Without it, a connection through a partition
            that has healed waits for a retransmission for up to two minutes.
        close_timeout_s: How long requests in progress may take to finish when
            the server closes.
    """

    max_frame_bytes: int = 8 * 1024 * 1024
    max_hello_bytes: int = 4096
    hello_timeout_s: float = 2.0
    max_connections: int = 1024
    max_concurrent_messages: int = 1024
    max_queued_messages: int = 256
    connect_timeout_s: float = 1.0
    min_backoff_s: float = 0.05
    max_backoff_s: float = 0.5
    unacknowledged_timeout_s: float = 5.0
    close_timeout_s: float = 1.0


class RefusedReason(enum.StrEnum):
    """Why a request was not sent."""

    CONNECT = "connect"
    BACKOFF = "backoff"
    TIMEOUT = "timeout"
    UNSENDABLE = "unsendable"
    CLOSED = "closed"


@attrs.frozen
class PeerRefused:
    """No byte of the request was sent."""

    reason: RefusedReason


@attrs.frozen
class PeerTimeout:
    """The request was sent; no reply came in time."""


@attrs.frozen
class PeerLost:
    """The request was sent; the connection ended before the reply."""


PeerFailure = PeerRefused | PeerTimeout | PeerLost
