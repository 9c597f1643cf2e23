"""A connection whose bytes can be held back, as on a network that drops them."""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Iterable


class HeldTransport:
    """Transport of a `HeldConnection`; writes and ends go through it."""

    def __init__(
        self, connection: "HeldConnection", transport: asyncio.Transport
    ):
        self.connection = connection
        self.transport = transport

    def __getattr__(self, name: str) -> object:
        return getattr(self.transport, name)

    def write(self, data: bytes) -> None:
        """Writes data, or keeps it while the outgoing bytes are held back."""
        self.connection.write(data)

    def close(self) -> None:
        """Closes the connection after the written data."""
        self.connection.close(self.transport.close)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.connection.close(self.transport.abort)

    def is_closing(self) -> bool:
        """Returns whether this side has closed the connection or lost it."""
        return self.connection.is_closed or self.transport.is_closing()


class HeldConnection(asyncio.Protocol):
    """Protocol that passes everything on, except what is held back.

    What is held back is passed on, in order, once it no longer is. If this side
    closes the connection before, the bytes are lost, and the other side hears
    of the end no sooner than the bytes would have passed. Bytes that are late
    arrive then, before the end, as from a network that kept them, or up to
    `late_spread_s` later, so that newer connections may overtake them.

    Attributes:
        inner: Protocol that receives what arrives.
        held: Directions that are held back: "in", "out".
        is_late: Whether the bytes of a closed connection arrive all the same.
        late_spread_s: Longest further time until they arrive, in seconds.
        is_closed: True if this side closed the connection while it was held.
        transport: Transport for `inner`; None until the connection is open.
    """

    def __init__(self, inner: asyncio.Protocol):
        self.inner = inner
        self.held: frozenset[str] = frozenset()
        self.is_late = False
        self.late_spread_s = 0.0
        self.is_closed = False
        self.transport: HeldTransport | None = None
        # Whether the late bytes are on their way.
        self._is_ending = False
        self._written: list[bytes] = []
        self._received: list[tuple[Callable, tuple]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = HeldTransport(self, transport)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        self._pass_on(self.inner.data_received, data)

    def eof_received(self) -> bool | None:
        return self._pass_on(self.inner.eof_received)

    def connection_lost(self, error: Exception | None) -> None:
        self._pass_on(self.inner.connection_lost, error)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    def _pass_on(self, callback: Callable, *arguments: object) -> bool | None:
        if self.is_closed:
            return None
        if "in" in self.held:
            self._received.append((callback, arguments))
            return None
        return callback(*arguments)

    def write(self, data: bytes) -> None:
        """Writes data, or keeps it while the outgoing bytes are held back."""
        if self.is_closed:
            return
        if "out" in self.held:
            self._written.append(bytes(data))
        else:
            self.transport.transport.write(data)

    def close(self, end: Callable[[], None]) -> None:
        """Ends the connection for `inner`; for the other side once not held."""
        if self.is_closed:
            return
        if not self.held:
            end()
            return
        written = self._written
        self._discard()
        if self.is_late:
            self._written = written
        loop = asyncio.get_running_loop()
        loop.call_soon(self.inner.connection_lost, None)

    def hold(self, directions: Iterable[str], is_late: bool = False) -> None:
        """Sets the directions that are held back, and passes on the others."""
        self.held = frozenset(directions)
        self.is_late = is_late
        if self.is_closed:
            if not self.held and not self._is_ending:
                self._end_late()
            return
        if "out" not in self.held:
            written, self._written = self._written, []
            for data in written:
                self.transport.transport.write(data)
        while self._received and "in" not in self.held and not self.is_closed:
            callback, arguments = self._received.pop(0)
            callback(*arguments)

    def _end_late(self) -> None:
        """Ends a connection that was closed while it was held."""
        if not self._written:
            self.transport.transport.abort()
            return
        self._is_ending = True
        delay_s = random.uniform(0.0, self.late_spread_s)
        asyncio.get_running_loop().call_later(delay_s, self._write_late)

    def _write_late(self) -> None:
        self._is_ending = False
        if self.held:
            return  # A further cut began meanwhile.
        written, self._written = self._written, []
        for data in written:
            self.transport.transport.write(data)
        self.transport.transport.close()

    def reset(self) -> None:
        """Aborts the connection for both sides, without what was held back."""
        was_closed = self.is_closed
        self._discard()
        self.is_closed = was_closed
        self.held = frozenset()
        self.transport.transport.abort()

    def _discard(self) -> None:
        self.is_closed = True
        self._written = []
        self._received.clear()

    @property
    def is_over(self) -> bool:
        """Whether nothing is left to hold back or to close."""
        return (
            not self._received
            and self.transport is not None
            and self.transport.transport.is_closing()
        )
