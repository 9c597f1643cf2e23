"""Connections between simulated entries."""

import asyncio
import itertools
from collections.abc import Callable

from expression import Error
from expression import Ok

from anvilford.model import Incarnation
from anvilford.peers import PeerLost
from anvilford.peers import PeerRefused
from anvilford.peers import PeerTimeout
from anvilford.peers import RefusedReason
from testkit.site_simulation._loop import call_inside
from testkit.site_simulation._loop import SimulatedProcess
from testkit.site_simulation._network import Network

CONNECT_TIMEOUT_S = 0.2
BACKOFF_S = 0.075


class PeerEndpoint(SimulatedProcess):
    """A process that receives messages of peers.

    Attributes:
        address: Its address for peers.
        handler: Handles messages, as that of `PeerServer`; None until it
            listens.
        incoming: Open connections to this process.
        links: Its outgoing connections.
    """

    def __init__(self, name: str, address: str):
        super().__init__(name)
        self.address = address
        self.handler: Callable | None = None
        self.incoming: list[_Connection] = []
        self.links: SimulatedPeerLinks | None = None


class _Connection:
    """One connection; bytes on the way may arrive after its end.

    Attributes:
        client: Process that opened it.
        server: Process that accepted it.
        network: The network.
        is_open: Whether the client uses it.
        pending: Futures of the client's calls by request id.
    """

    def __init__(
        self, client: PeerEndpoint, server: PeerEndpoint, network: Network
    ):
        self.client = client
        self.server = server
        self.network = network
        self.is_open = True
        self.pending: dict[int, asyncio.Future] = {}
        server.incoming.append(self)

    def send(self, request_id: int, message) -> None:
        """Sends a message; the id is 0 if no reply is expected."""

        def deliver() -> None:
            call_inside(self.server, self._receive, request_id, message)

        def give_up() -> None:
            call_inside(self.client, self.close)

        self.network.send(self.client.name, self.server.name, deliver, give_up)

    def _receive(self, request_id: int, message) -> None:
        """Starts the handler of a message in the server."""
        asyncio.ensure_future(self._handle(request_id, message))

    async def _handle(self, request_id: int, message) -> None:
        sender = Incarnation("zone", self.client.address, "token")
        reply = await self.server.handler(sender, message)
        if reply is None or not request_id:
            return

        def deliver() -> None:
            call_inside(self.client, self._receive_reply, request_id, reply)

        self.network.send(self.server.name, self.client.name, deliver)

    def _receive_reply(self, request_id: int, reply) -> None:
        future = self.pending.pop(request_id, None)
        if self.is_open and future is not None and not future.done():
            future.set_result(Ok(reply))

    def close(self) -> None:
        """Ends the connection in the client; calls fail with `PeerLost`."""
        self.is_open = False
        for future in self.pending.values():
            if not future.done():
                future.set_result(Error(PeerLost()))
        self.pending.clear()

    def break_from_server(self) -> None:
        """Tells the client that the server's process has ended."""
        self.network.send(
            self.server.name,
            self.client.name,
            lambda: call_inside(self.client, self.close),
        )


class SimulatedPeerLinks:
    """Double of `PeerLinks` that uses the simulated network.

    Attributes:
        process: The process that uses it.
        network: The network.
        find_process: Returns the process that listens at an address, or None.
    """

    def __init__(
        self,
        process: PeerEndpoint,
        network: Network,
        find_process: Callable[[str], PeerEndpoint | None],
    ):
        self.process = process
        self.network = network
        self.find_process = find_process
        self._connections: dict[str, _Connection] = {}
        self._attempts: dict[str, asyncio.Future] = {}
        self._retry_at: dict[str, float] = {}
        self._request_ids = itertools.count(1)
        self._queues: dict[str, list] = {}

    async def __aenter__(self) -> "SimulatedPeerLinks":
        return self

    async def __aexit__(self, *_: object) -> None:
        for address in list(self._connections):
            self.disconnect(address)

    async def call(self, address: str, message, timeout_s: float):
        """As `PeerLinks.call`."""
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._get_connection(address)
                if connection is None:
                    return Error(PeerRefused(RefusedReason.CONNECT))
                request_id = next(self._request_ids)
                future = asyncio.get_running_loop().create_future()
                connection.pending[request_id] = future
                connection.send(request_id, message)
                is_sent = True
                return await future
        except TimeoutError:
            if is_sent:
                return Error(PeerTimeout())
            return Error(PeerRefused(RefusedReason.TIMEOUT))

    def send(self, address: str, message) -> None:
        """As `PeerLinks.send`."""
        connection = self._connections.get(address)
        if connection is not None and connection.is_open:
            connection.send(0, message)
            return
        queue = self._queues.setdefault(address, [])
        queue.append(message)
        if len(queue) == 1:
            asyncio.ensure_future(self._send_queue(address))

    async def _send_queue(self, address: str) -> None:
        connection = await self._get_connection(address)
        for message in self._queues.pop(address):
            if connection is not None:
                connection.send(0, message)

    def disconnect(self, address: str) -> None:
        """As `PeerLinks.disconnect`."""
        self._retry_at.pop(address, None)
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    async def _get_connection(self, address: str) -> _Connection | None:
        connection = self._connections.get(address)
        if connection is not None and connection.is_open:
            return connection
        if address not in self._attempts:
            self._attempts[address] = asyncio.ensure_future(
                self._connect(address)
            )
        return await asyncio.shield(self._attempts[address])

    async def _connect(self, address: str) -> _Connection | None:
        loop = asyncio.get_running_loop()
        try:
            pause_s = self._retry_at.get(address, 0.0) - loop.time()
            await asyncio.sleep(max(pause_s, 0.0))
            name = address.partition(":")[0]
            give_up_at = loop.time() + CONNECT_TIMEOUT_S
            local = self.process.name
            while not (
                self.network.is_open(local, name)
                and self.network.is_open(name, local)
            ):
                if loop.time() >= give_up_at:
                    self._retry_at[address] = loop.time() + BACKOFF_S
                    return None
                await asyncio.sleep(0.05)
            await asyncio.sleep(
                self.network.delay_s(local, name)
                + self.network.delay_s(name, local)
            )
            server = self.find_process(address)
            if server is None or server.is_dead or server.handler is None:
                self._retry_at[address] = loop.time() + BACKOFF_S
                return None
            connection = _Connection(self.process, server, self.network)
            self._connections[address] = connection
            return connection
        finally:
            del self._attempts[address]
