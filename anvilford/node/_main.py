"""The entry daemon on the platform: `python -m anvilford.node SETTINGS`."""

import argparse
import asyncio
import contextlib
import gc
import json
import logging
import math
import os
import random
import secrets
import signal
import sys

from anvilford.http1 import HttpClient
from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.leadership import Member
from anvilford.model import Incarnation
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerPort
from anvilford.node._coordination import Coordination
from anvilford.node._driver import PlacerDriver
from anvilford.node._leader_row import LeaderRow
from anvilford.node._settings import load_node_settings
from anvilford.node._settings import NodeSettings
from anvilford.node._speed_row import SpeedRow
from anvilford.node._status import describe
from anvilford.node._sync import DROPPED_KEEP_S
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLimits
from anvilford.peers import PeerLinks
from anvilford.peers import PeerServer
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.platform import StoreClient
from anvilford.platform import TargetCalls
from anvilford.protocol import Heartbeat
from anvilford.protocol import LeaderAnnounced
from anvilford.protocol import LeaderQuery
from anvilford.protocol import Message
from anvilford.protocol import require_acceleration
from anvilford.protocol import WithdrawJob
from anvilford.telemetry import BoundedOutput
from anvilford.telemetry import configure_logging
from anvilford.telemetry import Counters
from anvilford.telemetry import LineBudget

EXIT_SETTINGS = 2
TOKEN_BYTES = 8
# The load balancer takes an entry out after two missed checks, one a second.
BALANCER_NOTICE_S = 2.3
# Requests that arrive later could meet the kill before their answer.
LAST_REQUESTS_S = 3.0
# Left of the grace time for closing down.
STOP_MARGIN_S = 0.4
ZONE_PROBE_TIMEOUT_S = 0.1
ZONE_PROBES = 2
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
# A lost peer must be noticed within a heartbeat or two.
PEER_LIMITS = PeerLimits(
    connect_timeout=0.2, backoff_max=0.1, unacknowledged_timeout=2.0
)
# Peers are on the platform's private network, which admits no one else.
PEER_TOKEN = "anvilford"

_logger = logging.getLogger("anvilford.node")


class EntryNode:
    """One entry on the platform; owns all that runs on the loop.

    Attributes:
        settings: Settings.
        counters: Counters and latencies.
    """

    def __init__(self, settings: NodeSettings, settings_path: str):
        self.settings = settings
        self.settings_path = settings_path
        self.counters = Counters()
        self.is_leaving = False
        # Targets that the list dropped before the start are not known here.
        self.list_complete_at = clock.now() + DROPPED_KEEP_S
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serves until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            await self._open(stack)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
            loop.add_signal_handler(signal.SIGINT, self._begin_stop)
            loop.add_signal_handler(signal.SIGHUP, self._reload)
            gc.collect()
            # Everything made so far lives as long as the process.
            gc.freeze()
            _logger.info(
                "started",
                extra={"zone": self.settings.zone, "pid": os.getpid()},
            )
            await self._stopped.wait()
            _logger.info("stopped")

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        self.http = stack.enter_context(HttpClient())
        self.calls = TargetCalls(self.http)
        self.store = StoreClient(self.http, settings.store)
        self.site = SiteView(self.store, self.counters)
        token = secrets.token_hex(TOKEN_BYTES)
        me = Member(
            settings.name,
            settings.zone,
            settings.peers,
            float(settings.cores),
            token,
        )
        incarnation = Incarnation(me.zone, me.address, token)
        self.links = await stack.enter_async_context(
            PeerLinks(
                incarnation,
                PEER_TOKEN,
                self.counters,
                random.Random(),
                PEER_LIMITS,
            )
        )
        self.coordination = Coordination(
            me,
            self.links,
            LeaderRow(self.store, self.counters),
            SpeedRow(self.store, self.counters),
            self.site,
            self.counters,
            self._make_driver,
            self._reaches_other_zones,
        )
        self.site.target_listeners.append(self.coordination.targets_changed)
        self.port = CallerPort(
            settings.name,
            self.site,
            self.coordination,
            self.links,
            self.counters,
        )
        await self._listen(stack, incarnation)
        for coroutine in (
            self.site.configuration.run(),
            self.site.target_list.run(),
            self._coordinate(),
        ):
            task = asyncio.ensure_future(coroutine)
            stack.callback(task.cancel)

    async def _listen(
        self, stack: contextlib.AsyncExitStack, incarnation: Incarnation
    ) -> None:
        settings = self.settings
        await stack.enter_async_context(
            PeerServer(
                incarnation,
                PEER_TOKEN,
                self._receive,
                self.counters,
                PEER_LIMITS,
            )
        )
        limits = ListenerLimits()
        self.callers = await stack.enter_async_context(
            HttpListener(settings.callers, self.port.handle, limits)
        )
        for address, handler in (
            (settings.ready, self._answer_ready),
            (settings.metrics, self._answer_metrics),
        ):
            await stack.enter_async_context(
                HttpListener(address, handler, limits)
            )

    async def _coordinate(self) -> None:
        while not self.site.is_complete():
            await asyncio.sleep(0.01)
        _logger.info(
            "ready to serve",
            extra={
                "configuration": self.site.table.version,
                "targets": len(self.site.targets),
            },
        )
        await self.coordination.run()

    def _make_driver(self, fence: int, is_partial: bool) -> PlacerDriver:
        settings = self.settings
        options = PlacementOptions(
            max_lease=settings.max_lease_ms / 1000,
            stop_time=settings.stop_time_ms / 1000,
            remote_penalty=float(settings.remote_penalty),
            list_complete_at=math.inf if is_partial else self.list_complete_at,
        )
        return PlacerDriver(
            fence,
            options,
            self.calls,
            self.counters,
            self.coordination.on_fence_lost,
            self.coordination.on_suspended,
        )

    async def _reaches_other_zones(self) -> bool:
        """Whether a target outside the own zone accepts a connection."""
        others = [t for t in self.site.targets if t.zone != self.settings.zone]
        chosen = random.sample(others, min(ZONE_PROBES, len(others)))

        async def probe(address: str) -> bool:
            host, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(ZONE_PROBE_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
            except (OSError, TimeoutError):
                return False
            return True

        results = await asyncio.gather(*(probe(t.address) for t in chosen))
        return any(results)

    # Messages from other entries.

    async def _receive(
        self, sender: Incarnation, message: Message
    ) -> Message | None:
        coordination = self.coordination
        match message:
            case Offer():
                coordination.overtake(message.fence)
                driver = coordination.driver
                if driver is None:
                    return Outcome(OutcomeKind.MOVED, "not_leading")
                return await driver.place(message)
            case Heartbeat():
                return coordination.receive_heartbeat(message)
            case LeaderQuery(member):
                return await coordination.receive_query(member)
            case LeaderAnnounced(leader):
                coordination.receive_announcement(leader)
            case WithdrawJob(job_id, entry):
                if coordination.driver is not None:
                    coordination.driver.withdraw(job_id, entry, "caller_left")
            case _:
                _logger.warning(
                    "message not expected",
                    extra={
                        "kind": type(message).__name__,
                        "peer": sender.address,
                    },
                )
        return None

    # Operators and the platform.

    @property
    def is_ready(self) -> bool:
        """Whether new requests are taken."""
        return (
            not self.is_leaving
            and self.site.is_complete()
            and self.coordination.leader is not None
        )

    async def _answer_ready(self, request: Request) -> Response:
        del request
        return Response(200 if self.is_ready else 503)

    async def _answer_metrics(self, request: Request) -> Response:
        match request.target.partition("?")[0]:
            case path if path == METRICS_PATH:
                text = self.counters.text()
                return Response(200, text.encode(), "text/plain")
            case path if path == STATUS_PATH:
                status = describe(self.coordination, self.is_ready)
                return Response(200, json.dumps(status).encode())
            case _:
                return Response(404)

    def _reload(self) -> None:
        loaded = load_node_settings(self.settings_path)
        if loaded.is_error():
            _logger.error(
                "settings not reloaded", extra={"reason": loaded.error.reason}
            )
            return
        changed = loaded.ok != self.settings
        logging.getLogger().setLevel(loaded.ok.log_level.upper())
        self.store.address = loaded.ok.store
        self.settings = loaded.ok
        _logger.info("settings reloaded", extra={"changed": changed})

    def _begin_stop(self) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        _logger.info(
            "stop requested", extra={"in_progress": self.port.in_progress}
        )
        self.coordination.is_leaving = True
        self.callers.is_closing = True
        self._stop_task = asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        """Serves on until callers have moved, then finishes what is left."""
        started = clock.now()
        end = started + self.settings.stop_grace_s - STOP_MARGIN_S
        while clock.now() < end:
            await asyncio.sleep(0.05)
            elapsed = clock.now() - started
            if elapsed >= LAST_REQUESTS_S:
                self.port.refuses_new = True
            idle = self.port.in_progress == 0
            driver = self.coordination.driver
            if elapsed >= BALANCER_NOTICE_S and idle:
                self.callers.close_idle_connections()
                if driver is None or driver.is_idle:
                    break
        if self.coordination.driver is not None:
            self.coordination.driver.close()
        self._stopped.set()


def main(argv: list[str] | None = None) -> int:
    """Runs an entry until a planned stop is complete.

    Returns:
        Exit status: 0 after a planned stop, 2 when the settings are refused.
    """
    parser = argparse.ArgumentParser(
        prog="anvilford.node",
        description="Entry of the anvilford dispatcher on the platform.",
        epilog="Exit status: 0 after a planned stop, 2 on refused settings.",
    )
    parser.add_argument("settings", help="JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    arguments = parser.parse_args(argv)
    loaded = load_node_settings(arguments.settings)
    if loaded.is_error():
        print(f"anvilford.node: {loaded.error.reason}", file=sys.stderr)
        return EXIT_SETTINGS
    if arguments.check:
        return 0
    settings = loaded.ok
    require_acceleration()
    output = BoundedOutput(sys.stdout.fileno())
    configure_logging(
        output,
        settings.log_level.upper(),
        {"node": settings.name},
        LineBudget(output),
    )
    asyncio.run(_serve(settings, arguments.settings))
    return 0


async def _serve(settings: NodeSettings, path: str) -> None:
    await EntryNode(settings, path).run()
