"""Limits, failures and callback types of connections between entries."""

import enum
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from anvilford.model import Incarnation
from anvilford.protocol import Message

# Receives the authenticated sender and its message; returns the reply, or None
# if the message has none.
MessageHandler = Callable[[Incarnation, Message], Awaitable[Message | None]]


class CounterSink(typing.Protocol):
    """The methods of `telemetry.Counters` that this package calls."""

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds `amount` to the counter with this name and these labels."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a latency in seconds under this name and these labels."""


class FrameMemory(typing.Protocol):
    """The methods of `http1.RequestBudget` that this package calls."""

    def reserve(self, size: int) -> bool:
        """Counts memory for a message; returns False if there is none."""

    def release(self, size: int) -> None:
        """Counts memory that was reserved no longer."""


@attrs.frozen
class PeerLimits:
    """Bounds on the connections between entry daemons.

    Attributes:
        max_frame_bytes: Largest envelope sent or accepted, without its length
            prefix. The largest job (4 MiB) and the answer to it must fit.
        max_hello_bytes: Largest first frame accepted from a connecting peer,
            which is not yet authenticated.
        hello_timeout_s: Longest time, in seconds, from accepting a connection
            to receiving its `Hello`.
        max_connections: Most incoming connections that are open at once.
        max_concurrent_messages: Most messages handled at once per incoming
            connection. Further messages are not read from the socket.
        max_queued_messages: Most one-way messages queued for one peer.
        connect_timeout_s: Longest time, in seconds, to open a connection.
        min_backoff_s: Pause, in seconds, before the attempt that follows the
            first failure. It doubles with each consecutive failure.
        max_backoff_s: Upper bound, in seconds, on the pause between attempts.
            A connection that lasts this long resets the failure count.
        unacknowledged_timeout_s: Time, in seconds, after which the kernel
            drops a connection whose data is not acknowledged. Without it, a
            connection that outlives a network partition waits up to two
            minutes for a retransmission.
        large_frame_bytes: Size from which an envelope must fit into the memory
            that the process shares, and arrive in time.
        large_frame_timeout_s: Longest time, in seconds, from the length of such
            an envelope to its last byte.
        close_timeout_s: Longest time, in seconds, that a closing server waits
            for requests in progress.
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
    large_frame_bytes: int = 64 * 1024
    large_frame_timeout_s: float = 10.0
    close_timeout_s: float = 1.0


class RefusedReason(enum.StrEnum):
    """Why a request was not sent.

    Attributes:
        CONNECT: The connection could not be opened.
        BACKOFF: The pause after a failed attempt or a lost connection has not
            ended.
        TIMEOUT: The timeout ended before the request could be written.
        UNSENDABLE: The message cannot be encoded or exceeds
            `PeerLimits.max_frame_bytes`.
        CLOSED: The link or its connection was closed.
    """

    CONNECT = "connect"
    BACKOFF = "backoff"
    TIMEOUT = "timeout"
    UNSENDABLE = "unsendable"
    CLOSED = "closed"


@attrs.frozen
class PeerRefused:
    """No byte of the request was sent.

    Attributes:
        reason: Why it was not sent.
    """

    reason: RefusedReason


@attrs.frozen
class PeerTimeout:
    """The request was sent, but no reply arrived within the timeout."""


@attrs.frozen
class PeerLost:
    """The request was sent, but the connection ended before the reply."""


PeerFailure = PeerRefused | PeerTimeout | PeerLost
