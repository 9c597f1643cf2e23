"""Outgoing connections to all peers."""

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

    An async context manager; on exit it closes all connections.

    Attributes:
        local: This process, as named in `Hello`.
        token: Shared secret of the entry daemons.
        counters: Receives counts.
        rng: Source of the jitter.
        limits: Bounds.
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

        Nothing is sent twice. If the caller is cancelled, a reply that comes
        later is ignored.

        Args:
            address: Peer address, "IP:port".
            message: The request.
            timeout_s: Seconds for connecting, sending and the reply together.

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
        """Sends a one-way message, best effort.

        It is dropped and counted if the peer cannot be reached, if the
        connection ends first, or if newer messages fill the queue.

        Args:
            address: Peer address, "IP:port".
            message: The message.
        """
        if self._is_open:
            self._get_or_create_link(address).send(message)

    def close_all_except(self, addresses: Collection[str]) -> None:
        """Closes the connections to all other addresses."""
        for address in self._links.keys() - set(addresses):
            self._links.pop(address).close()

    def disconnect(self, address: str) -> None:
        """Closes the connection to an address; the next call opens one."""
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
