"""HTTP/1.1 server that handles the requests of a connection in order."""

import asyncio
import socket
import time
import weakref
from collections.abc import Callable

import attrs

from anvilford.http1._budget import ReadingTurns
from anvilford.http1._budget import RequestBudget
from anvilford.http1._connection import ServerConnection
from anvilford.http1._holding import choose_for_room
from anvilford.http1._holding import Expiry
from anvilford.http1._holding import find_expiry
from anvilford.http1._holding import Holding
from anvilford.http1._holding import Phase
from anvilford.http1._limits import ListenerLimits
from anvilford.http1._messages import Handler
from anvilford.http1._refusals import RefusalReport

# Time between two checks of the time limits of connections, in seconds.
CHECK_INTERVAL_S = 0.5


@attrs.define(eq=False)
class SharedBudget:
    """What the listeners of a process share.

    Attributes:
        memory: Memory of requests.
        turns: Processor time of incomplete requests.
        refusals: Counts and logs refusals.
    """

    memory: RequestBudget = attrs.field(factory=RequestBudget)
    turns: ReadingTurns = attrs.field(factory=ReadingTurns)
    refusals: RefusalReport = attrs.field(factory=RefusalReport)


class HttpListener:
    """HTTP server on one address; an async context manager.

    Leaving the context cancels running handlers and closes all connections.

    Attributes:
        address: "IP:port"; with port 0 it holds the assigned port once the
            listener is open.
        handler: Called for each request; an exception is answered with 500.
        limits: Limits on requests and connections.
        arrival_clock: Returns the earliest time at which data that is read now
            may have arrived, in seconds.
        shared: Memory and processor time, which other listeners may share.
        sizes: Returns the largest size of headers and of the body of a request
            that begins now, in bytes; by default those of `limits`.
        is_closing: Set by the owner to True before a stop; each response then
            closes its connection.
        connections: Open connections.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ListenerLimits,
        arrival_clock: Callable[[], float] = time.monotonic,
        shared: SharedBudget | None = None,
        sizes: Callable[[], tuple[int, int]] | None = None,
    ):
        self.address = address
        self.handler = handler
        self.limits = limits
        self.arrival_clock = arrival_clock
        self.shared = shared or SharedBudget()
        self.sizes = sizes or self._fixed_sizes
        self.is_closing = False
        self.connections: set[ServerConnection] = set()
        # Connections by phase, those without progress for the longest first.
        waiting: dict[Holding, ServerConnection] = {}
        self._by_phase = {phase: {} for phase in Phase}
        self._by_phase[Phase.NEW] = waiting
        self._by_phase[Phase.INCOMPLETE] = waiting
        # Accepted connections that the event loop has not yet opened.
        self._accepted: weakref.WeakSet[ServerConnection] = weakref.WeakSet()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    def _fixed_sizes(self) -> tuple[int, int]:
        return self.limits.max_header_bytes, self.limits.max_body_bytes

    def start_task(self, coroutine) -> asyncio.Task:
        """Starts a task that is cancelled when the listener is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def __aenter__(self) -> "HttpListener":
        """Opens the listening socket.

        Raises:
            OSError: The address is not available.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            host,
            int(port),
            backlog=self.limits.backlog,
            reuse_address=True,
        )
        for sock in self._server.sockets:
            self._set_kernel_buffers(sock)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._check_timer = loop.call_later(CHECK_INTERVAL_S, self._check)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self._check_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.close()

    def _set_kernel_buffers(self, sock: socket.socket) -> None:
        """Sets the sizes of buffers that accepted connections inherit."""
        for option, size in (
            (socket.SO_RCVBUF, self.limits.receive_buffer_bytes),
            (socket.SO_SNDBUF, self.limits.send_buffer_bytes),
        ):
            if size:
                sock.setsockopt(socket.SOL_SOCKET, option, size)

    # Connections.

    def _accept(self) -> ServerConnection:
        """Returns the protocol of a connection, and makes room for it first."""
        if self._open_count() >= self.limits.max_connections:
            self._make_room()
        connection = ServerConnection(self)
        self._accepted.add(connection)
        return connection

    def _open_count(self) -> int:
        return len(self.connections) + len(self._accepted)

    def _make_room(self) -> None:
        """Ends the connection that should give way to a new one, if any."""
        victim = choose_for_room(
            self._by_phase[Phase.REFUSED],
            self._by_phase[Phase.INCOMPLETE],
            self._by_phase[Phase.UNREAD],
            self._by_phase[Phase.IDLE],
            time.monotonic(),
        )
        if victim is None:
            return
        connection = self._by_phase[victim.phase][victim]
        if victim.phase is not Phase.REFUSED:
            self.shared.refusals.record("connections")
        # Closed at once, since its descriptor is needed.
        connection.abort()
        self.forget(connection)

    def admit(self, connection: ServerConnection) -> None:
        """Counts a connection that was opened, or refuses it."""
        self._accepted.discard(connection)
        if self._open_count() >= self.limits.max_connections:
            self.shared.refusals.record("connections")
            connection.abort()
            return
        now = time.monotonic()
        connection.holding.since = connection.holding.progressed_at = now
        self.connections.add(connection)
        self._by_phase[Phase.NEW][connection.holding] = connection
        self.shared.memory.add(connection.holding)
        self._bound_incomplete()

    def forget(self, connection: ServerConnection) -> None:
        """Counts a connection no longer; its memory counts until it is free."""
        self.connections.discard(connection)
        self._by_phase[connection.holding.phase].pop(connection.holding, None)

    def note_progress(self, connection: ServerConnection, phase: Phase) -> None:
        """Records the phase of a connection that made progress."""
        if connection not in self.connections:
            return
        now = time.monotonic()
        holding = connection.holding
        self._by_phase[holding.phase].pop(holding, None)
        if phase is not holding.phase:
            holding.phase = phase
            holding.since = now
        holding.progressed_at = now
        self._by_phase[phase][holding] = connection
        if phase is Phase.INCOMPLETE:
            self._bound_incomplete()

    def _bound_incomplete(self) -> None:
        waiting = self._by_phase[Phase.INCOMPLETE]
        if len(waiting) > self.limits.max_incomplete_connections:
            next(iter(waiting.values())).refuse("incomplete_connections")

    def _check(self) -> None:
        """Ends the connections whose time limits have passed."""
        now = time.monotonic()
        for connection in list(self.connections):
            expiry = find_expiry(
                connection.holding, self.limits, connection.has_unread(), now
            )
            if expiry is not None:
                self._expire(connection, expiry)
        self._check_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check
        )

    def _expire(self, connection: ServerConnection, expiry: Expiry) -> None:
        match expiry:
            case Expiry.IDLE if not connection.has_unread():
                connection.close()
            case Expiry.IDLE | Expiry.UNREAD:
                self.shared.refusals.record(Expiry.UNREAD.value)
                connection.abort()
            case Expiry.LINGERED:
                connection.abort()
            case Expiry.TIMEOUT | Expiry.TOO_SLOW:
                # Received data that waits to be parsed is not the client's
                # fault.
                status = 503 if connection.pending else 408
                connection.refuse(expiry.value, status)

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()
