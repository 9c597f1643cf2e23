"""Entries of the simulated site: the real components, wired to doubles."""

import asyncio
import contextlib
import itertools
import json
import random
from collections.abc import Callable
from collections.abc import Iterator
from unittest import mock

from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.node import _clock as clock
from anvilford.node import _main as node_main
from anvilford.node._main import EntryNode
from anvilford.node._settings import NodeSettings
from testkit.site_simulation._loop import call_inside
from testkit.site_simulation._loop import CURRENT_PROCESS
from testkit.site_simulation._network import Network
from testkit.site_simulation._peers import PeerEndpoint
from testkit.site_simulation._peers import SimulatedPeerLinks
from testkit.site_simulation._store import SimulatedStore
from testkit.site_simulation._store import SimulatedStoreClient
from testkit.site_simulation._targets import SimulatedTarget
from testkit.site_simulation._targets import SimulatedTargetClient

MAX_LEASE_MS = 1000
STOP_TIME_MS = 50
# Time from the signal to stop to the end of the process.
STOP_GRACE_S = 10.0
PROBE_TIMEOUT_S = 0.1
PROBE_COUNT = 2


class Surroundings:
    """What the entries reach.

    Attributes:
        rng: Determines the chances of the entries.
        network: The network.
        store: The store.
        targets: Targets by address.
        processes: Present process of each entry by its address for peers.
        all_processes: All processes that there have been.
    """

    def __init__(
        self, rng: random.Random, network: Network, store: SimulatedStore
    ):
        self.rng = rng
        self.network = network
        self.store = store
        self.targets: dict[str, SimulatedTarget] = {}
        self.processes: dict[str, EntryProcess] = {}
        self.all_processes: list[EntryProcess] = []


class EntryProcess(PeerEndpoint):
    """One process of an entry.

    Attributes:
        zone: Its zone.
        surroundings: What it reaches.
        node: The entry; None until it has started.
        handle_request: Handles requests of callers; None until it listens.
        arrival_clock: As that of `HttpListener`.
        requests: Tasks of the requests.
        has_started_stop: Whether it was told to stop.
    """

    def __init__(self, name: str, zone: str, surroundings: Surroundings):
        super().__init__(name, name + ":1")
        self.zone = zone
        self.surroundings = surroundings
        self.node: EntryNode | None = None
        self.handle_request: Callable | None = None
        self.arrival_clock: Callable[[], float] | None = None
        self.requests: set[asyncio.Task] = set()
        self.has_started_stop = False
        self._stack = contextlib.AsyncExitStack()

    def start(self) -> None:
        """Starts the components; a killed process of the entry is replaced."""
        self.surroundings.processes[self.address] = self
        self.surroundings.all_processes.append(self)
        call_inside(self, lambda: asyncio.ensure_future(self._start()))

    async def _start(self) -> None:
        settings = NodeSettings(
            name=self.name,
            zone=self.zone,
            callers=self.name + ":0",
            ready=self.name + ":2",
            peers=self.address,
            metrics=self.name + ":3",
            store="store:1",
            cores=4.0,
            stop_grace_s=STOP_GRACE_S,
            max_lease_ms=MAX_LEASE_MS,
            stop_time_ms=STOP_TIME_MS,
            remote_penalty=1.0,
        )
        self.node = EntryNode(settings, "")
        self.node._probe_other_zones = self._probe_other_zones
        await self.node._start_components(self._stack)

    async def _probe_other_zones(self) -> bool:
        """Returns whether a target outside of the zone is reached."""
        others = [
            target
            for target in self.node.site.targets
            if target.zone != self.zone
        ]
        rng = self.surroundings.rng
        network = self.surroundings.network
        for record in rng.sample(others, min(PROBE_COUNT, len(others))):
            target = self.surroundings.targets[record.address]
            if (
                network.is_open(self.name, target.name)
                and network.is_open(target.name, self.name)
                and not target.model.is_down
            ):
                await asyncio.sleep(2 * network.delay_s(self.name, target.name))
                return True
        await asyncio.sleep(PROBE_TIMEOUT_S)
        return False

    def receive_request(
        self, request: Request, answer: Callable[[Response], None]
    ) -> None:
        """Handles a request of a caller; called inside of the process."""
        request.arrived_at = self.arrival_clock()
        task = asyncio.ensure_future(self.handle_request(request))
        self.requests.add(task)

        def finish(task: asyncio.Task) -> None:
            self.requests.discard(task)
            if not task.cancelled():
                failed = task.exception() is not None
                answer(Response(500) if failed else task.result())

        task.add_done_callback(finish)

    @property
    def is_serving(self) -> bool:
        """Whether all components have started."""
        return self.handle_request is not None

    @property
    def has_stopped(self) -> bool:
        """Whether a planned stop is complete."""
        return self.node is not None and self.node._stopped.is_set()

    def begin_stop(self) -> None:
        """Tells the process to finish its jobs and to end."""
        self.has_started_stop = True
        call_inside(self, self.node._begin_stop)

    def kill(self) -> None:
        """Ends the process at once."""
        self.is_dead = True
        for connection in self.incoming:
            connection.break_from_server()


class _Listener:
    """Double of `PeerServer` and `HttpListener`: passes on the handler."""

    is_closing = False

    async def __aenter__(self) -> "_Listener":
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    def close_idle_connections(self) -> None:
        """Does nothing; each request has a connection of its own."""


@contextlib.contextmanager
def simulated_components(loop: asyncio.AbstractEventLoop) -> Iterator[None]:
    """Replaces the clock, the network and the store of all entries.

    Args:
        loop: Loop whose time is that of all clocks.
    """
    tokens = itertools.count(1)
    seeds = random.Random(0)
    make_random = random.Random

    def create_links(*_: object) -> SimulatedPeerLinks:
        process = CURRENT_PROCESS.get()
        around = process.surroundings
        process.links = SimulatedPeerLinks(
            process, around.network, around.processes.get
        )
        return process.links

    def create_store_client(*_: object) -> SimulatedStoreClient:
        process = CURRENT_PROCESS.get()
        return SimulatedStoreClient(process, process.surroundings.store)

    def create_target_client(*_: object) -> SimulatedTargetClient:
        process = CURRENT_PROCESS.get()
        around = process.surroundings
        return SimulatedTargetClient(
            process, around.network, around.rng, around.targets.__getitem__
        )

    def create_peer_server(incarnation, token, handler, *_) -> _Listener:
        del incarnation, token
        CURRENT_PROCESS.get().handler = handler
        return _Listener()

    def create_listener(
        address: str, handler, limits, arrival_clock=loop.time, **_: object
    ) -> _Listener:
        # Budgets and sizes of requests concern the bytes of real connections.
        del limits
        process = CURRENT_PROCESS.get()
        if address == process.node.settings.callers:
            process.arrival_clock = arrival_clock
            process.handle_request = handler
        return _Listener()

    def create_random(*seed: object) -> random.Random:
        return make_random(*seed) if seed else make_random(seeds.random())

    with (
        mock.patch.object(clock, "now", loop.time),
        mock.patch.object(random, "Random", create_random),
        mock.patch.multiple(
            node_main,
            HttpClient=contextlib.nullcontext,
            TargetClient=create_target_client,
            StoreClient=create_store_client,
            PeerLinks=create_links,
            PeerServer=create_peer_server,
            HttpListener=create_listener,
        ),
        mock.patch.object(
            node_main.secrets, "token_hex", lambda _: f"process{next(tokens)}"
        ),
    ):
        yield


def configuration(host: str, prefix: str, service: str) -> bytes:
    """Returns the operator's configuration with one queue."""
    route = {
        "host": host,
        "path_prefix": prefix,
        "service": service,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 3.0,
        "target_latency_ms": 400,
    }
    return json.dumps({"version": 1, "routes": [route]}).encode()
