"""Outgoing connections to all other entry daemons."""

import asyncio
import contextlib
import random
from collections.abc import Collection

from expression import Error
from expression import Result

from anvilford.model import Incarnation
from anvilford.peers._link import PeerLink
from anvilford.peers._tasks import TaskScope
from anvilford.peers._types import CounterSink
from anvilford.peers._types import PeerFailure
from anvilford.peers._types import PeerLimits
from anvilford.peers._types import PeerRefused
from anvilford.peers._types import RefusedReason
from anvilford.protocol import Hello
from anvilford.protocol import Message


class PeerLinks:
    """Sends messages to peers over one connection per address.

    Connections are opened on first use. An async context manager: on exit it
    closes all connections, and calls made outside the context are refused.

    Attributes:
        local: This process, sent as the sender in `Hello`.
        token: Secret shared by all entry daemons, sent in `Hello`.
        counters: Receives counts and latencies of calls and messages.
        rng: Random numbers for the jitter of reconnection pauses.
        limits: Timeouts, backoff and sizes.
    """

    def __init__(
        self,
        local: Incarnation,
        token: str,
        counters: CounterSink,
        rng: random.Random,
        limits: PeerLimits,
    ):
        self.local = local
        self.token = token
        self.counters = counters
        self.rng = rng
        self.limits = limits
        self._links: dict[str, PeerLink] = {}
        self._background_tasks = TaskScope()
        self._exit_stack = contextlib.AsyncExitStack()
        self._is_open = False

    async def __aenter__(self) -> "PeerLinks":
        await self._exit_stack.enter_async_context(self._background_tasks)
        self._exit_stack.callback(self.close_all_except, ())
        self._is_open = True
        return self

    async def __aexit__(self, *_: object) -> None:
        self._is_open = False
        await self._exit_stack.aclose()

    async def call(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerFailure]:
        """Sends a request and waits for its reply.

        The request is sent at most once. If the calling task is cancelled, a
        later reply is discarded.

        Args:
            address: Peer address, "IP:port".
            message: The request.
            timeout_s: Time in seconds for connecting, sending and waiting for
                the reply together.

        Returns:
            The reply; `PeerRefused` if no byte of the request was sent;
            `PeerTimeout` or `PeerLost` if the peer may have received it.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if self._is_open:
            result = await self._get_or_create_link(address).call(
                message, timeout_s
            )
        else:
            result = Error(PeerRefused(RefusedReason.CLOSED))
        kind = type(message).__name__
        if result.is_ok():
            elapsed_s = loop.time() - started_at
            self.counters.observe("peer_call", elapsed_s, message=kind)
        else:
            failure = type(result.error).__name__
            self.counters.increment(
                "peer_calls_failed", message=kind, failure=failure
            )
        return result

    def send(self, address: str, message: Message) -> None:
        """Queues a one-way message without waiting; delivery is best effort.

        The message is dropped and counted if it cannot be encoded, if the peer
        cannot be reached, if the connection ends before it is written, or if
        `limits.max_queued_messages` newer messages are queued.

        Args:
            address: Peer address, "IP:port".
            message: The message.
        """
        if self._is_open:
            self._get_or_create_link(address).send(message)

    def close_all_except(self, addresses: Collection[str]) -> None:
        """Closes the connections to all addresses except the given ones."""
        for address in self._links.keys() - set(addresses):
            self._links.pop(address).close()

    def disconnect(self, address: str) -> None:
        """Closes the connection to an address; the next message opens one."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def _get_or_create_link(self, address: str) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            hello = Hello(self.token, self.local)
            link = self._links[address] = PeerLink(
                address,
                hello,
                self.counters,
                self.rng,
                self.limits,
                self._background_tasks,
            )
        return link
