"""Process of the entry daemon: `python -m anvilford.node SETTINGS`."""

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

import uvloop

from anvilford.http1 import HttpClient
from anvilford.http1 import HttpListener
from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.leadership import Member
from anvilford.model import Incarnation
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerRequestHandler
from anvilford.node._contest import Contest
from anvilford.node._contest import probe_targets
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._driver import PlacerDriver
from anvilford.node._leader_row import LeaderRow
from anvilford.node._progress import LoopProgress
from anvilford.node._request_limits import caller_limits
from anvilford.node._request_limits import create_shared_budget
from anvilford.node._request_limits import operator_limits
from anvilford.node._request_limits import peer_limits
from anvilford.node._request_limits import request_sizes
from anvilford.node._settings import load_node_settings
from anvilford.node._settings import NodeSettings
from anvilford.node._speed_row import SpeedRow
from anvilford.node._status import describe_entry
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLimits
from anvilford.peers import PeerLinks
from anvilford.peers import PeerServer
from anvilford.placement import CrashHistory
from anvilford.placement import Offer
from anvilford.placement import PlacementOptions
from anvilford.platform import StoreClient
from anvilford.platform import TargetClient
from anvilford.protocol import CancelJob
from anvilford.protocol import CancelJobReply
from anvilford.protocol import Heartbeat
from anvilford.protocol import LeaderAnnounced
from anvilford.protocol import LeaderQuery
from anvilford.protocol import Message
from anvilford.protocol import require_acceleration
from anvilford.protocol import TargetLossReport
from anvilford.protocol import WithdrawJob
from anvilford.telemetry import configure_logging
from anvilford.telemetry import Counters
from anvilford.telemetry import LogRateLimiter
from anvilford.telemetry import NonBlockingOutput

EXIT_INVALID_SETTINGS = 2
# Size of the random token that identifies this process.
INCARNATION_TOKEN_BYTES = 8
# Time after which the load balancer sends no new requests to a stopping entry.
# It checks once a second and removes an entry after two failed checks.
LOAD_BALANCER_REMOVAL_S = 2.3
# New jobs are accepted for this long after a stop was requested. Jobs accepted
# later could still be unanswered when the process is killed.
NEW_JOBS_ACCEPTED_S = 3.0
# Part of the grace time that is reserved for closing all components.
SHUTDOWN_MARGIN_S = 0.4
ZONE_PROBE_TIMEOUT_S = 0.1
# Number of targets in other zones to which this entry tries to connect. If one
# of them answers, the entry reaches other zones.
ZONE_PROBE_COUNT = 2
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
# Short limits, so that a lost peer is detected within one or two heartbeats.
PEER_LIMITS = PeerLimits(
    connect_timeout_s=0.2, max_backoff_s=0.1, unacknowledged_timeout_s=2.0
)
# All entries use the same token: the platform's private network admits only
# them.
PEER_TOKEN = "anvilford"

_logger = logging.getLogger("anvilford.node")


class EntryNode:
    """One entry on the platform; owns all components on the event loop.

    Attributes:
        settings: Settings; replaced when they are reloaded.
        settings_path: Path from which the settings are reloaded.
        counters: Counters and latencies of all components.
        crashes: Targets that were lost while they ran tasks, as this entry or
            the leaders that it followed have seen.
        is_stopping: True once a planned stop has begun.
    """

    def __init__(self, settings: NodeSettings, settings_path: str):
        self.settings = settings
        self.settings_path = settings_path
        self.counters = Counters()
        self.crashes = CrashHistory()
        self.is_stopping = False
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Runs the entry until a planned stop is complete."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start_components(stack)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
            loop.add_signal_handler(signal.SIGINT, self._begin_stop)
            loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            gc.collect()
            # The objects created so far live as long as the process, so the
            # garbage collector need not examine them.
            gc.freeze()
            _logger.info(
                "started",
                extra={"zone": self.settings.zone, "pid": os.getpid()},
            )
            await self._stopped.wait()
            _logger.info("stopped")

    async def _start_components(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        self.http_client = stack.enter_context(HttpClient())
        self.target_client = TargetClient(self.http_client)
        self.store = StoreClient(self.http_client, settings.store)
        self.site = SiteView(self.store, self.counters)
        token = secrets.token_hex(INCARNATION_TOKEN_BYTES)
        local_member = Member(
            settings.name,
            settings.zone,
            settings.peers,
            float(settings.cores * settings.cpu_share),
            token,
        )
        incarnation = Incarnation(
            local_member.zone, local_member.address, token
        )
        self.peer_links = await stack.enter_async_context(
            PeerLinks(
                incarnation,
                PEER_TOKEN,
                self.counters,
                random.Random(),
                PEER_LIMITS,
            )
        )
        self.coordinator = LeadershipCoordinator(
            local_member,
            self.peer_links,
            LeaderRow(self.store, self.counters),
            SpeedRow(self.store, self.counters),
            self.site,
            self.counters,
            self._create_driver,
            self._probe_other_zones,
            self._probe_targets,
            self.crashes,
        )
        self.site.target_listeners.append(self.coordinator.update_targets)
        self.caller_handler = CallerRequestHandler(
            settings.name,
            self.site,
            self.coordinator,
            self.peer_links,
            self.counters,
        )
        await self._start_listeners(stack, incarnation)
        for coroutine in (
            self.site.configuration.run(),
            self.site.target_list.run(),
            self._run_coordinator(),
        ):
            task = asyncio.ensure_future(coroutine)
            stack.callback(task.cancel)

    async def _start_listeners(
        self, stack: contextlib.AsyncExitStack, incarnation: Incarnation
    ) -> None:
        settings = self.settings
        shared = create_shared_budget(settings, self.counters)
        stack.callback(shared.turns.close)
        await stack.enter_async_context(
            PeerServer(
                incarnation,
                PEER_TOKEN,
                self._handle_peer_message,
                self.counters,
                peer_limits(settings, PEER_LIMITS),
                shared.memory,
            )
        )
        progress = stack.enter_context(LoopProgress())
        self.caller_listener = await stack.enter_async_context(
            HttpListener(
                settings.callers,
                self.caller_handler.handle,
                caller_limits(settings),
                progress.earliest_arrival,
                shared=shared,
                sizes=self._request_sizes,
            )
        )
        for address, handler in (
            (settings.ready, self._answer_ready),
            (settings.metrics, self._answer_metrics),
        ):
            await stack.enter_async_context(
                HttpListener(
                    address, handler, operator_limits(settings), shared=shared
                )
            )

    def _request_sizes(self) -> tuple[int, int]:
        table = self.site.routing_table
        return request_sizes(self.settings, table.limits if table else None)

    async def _run_coordinator(self) -> None:
        """Runs the coordinator once configuration and targets are known."""
        while not self.site.is_loaded():
            await asyncio.sleep(0.01)
        _logger.info(
            "ready to serve",
            extra={
                "configuration": self.site.routing_table.version,
                "targets": len(self.site.targets),
            },
        )
        await self.coordinator.run()

    def _create_driver(self, fence: int, is_partial: bool) -> PlacerDriver:
        settings = self.settings
        options = PlacementOptions(
            max_lease=settings.max_lease_ms / 1000,
            stop_time=settings.stop_time_ms / 1000,
            remote_penalty=float(settings.remote_penalty),
            resubmit_pause=settings.resubmit_pause_ms / 1000,
            separate_interfering_tasks=settings.separate_interfering_tasks,
            list_complete_at=(
                math.inf if is_partial else self.site.removals_known_at
            ),
        )
        return PlacerDriver(
            fence,
            options,
            self.target_client,
            self.counters,
            self.coordinator.on_fence_lost,
            self.coordinator.on_suspended,
            self.crashes,
        )

    async def _probe_other_zones(self) -> bool:
        """Returns whether a target outside the local zone is reachable.

        Tries to connect to `ZONE_PROBE_COUNT` randomly selected targets.
        """
        other_targets = [
            target
            for target in self.site.targets
            if target.zone != self.settings.zone
        ]
        probed_targets = random.sample(
            other_targets, min(ZONE_PROBE_COUNT, len(other_targets))
        )

        async def probe(address: str) -> bool:
            host, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(ZONE_PROBE_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
            except (OSError, TimeoutError):
                return False
            return True

        results = await asyncio.gather(
            *(probe(target.address) for target in probed_targets)
        )
        return any(results)

    async def _probe_targets(
        self, fence: int, own_fence: int, is_partial: bool, watch_s: float
    ) -> Contest:
        """As `probe_targets`, for the targets that this entry would lead."""
        targets = [
            target
            for target in self.site.targets
            if not is_partial or target.zone == self.settings.zone
        ]
        return await probe_targets(
            targets, self.target_client.poll, fence, own_fence, watch_s
        )

    # Messages from other entries.

    async def _handle_peer_message(
        self, sender: Incarnation, message: Message
    ) -> Message | None:
        coordination = self.coordinator
        match message:
            case Offer():
                return await coordination.receive_offer(message)
            case Heartbeat():
                return coordination.receive_heartbeat(message)
            case LeaderQuery(member):
                return await coordination.receive_query(member)
            case LeaderAnnounced(leader):
                coordination.receive_announcement(leader)
            case TargetLossReport(losses):
                for loss in losses:
                    self.crashes.apply(loss, clock.now())
            case CancelJob(job_id):
                return CancelJobReply(
                    self.caller_handler.cancellations.receive(job_id)
                )
            case WithdrawJob(job_id, entry):
                if coordination.driver is not None:
                    coordination.driver.withdraw(job_id, entry, "caller_left")
            case _:
                _logger.warning(
                    "ignoring a peer message of an unexpected kind",
                    extra={
                        "kind": type(message).__name__,
                        "peer": sender.address,
                    },
                )
        return None

    # Requests from operators and signals from the platform.

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new requests."""
        return (
            not self.is_stopping
            and self.site.is_loaded()
            and self.coordinator.leader is not None
        )

    async def _answer_ready(self, request: Request) -> Response:
        del request
        return Response(200 if self.is_ready else 503)

    async def _answer_metrics(self, request: Request) -> Response:
        match request.target.partition("?")[0]:
            case path if path == METRICS_PATH:
                text = self.counters.prometheus_text()
                return Response(200, text.encode(), "text/plain")
            case path if path == STATUS_PATH:
                status = describe_entry(self.coordinator, self.is_ready)
                return Response(200, json.dumps(status).encode())
            case _:
                return Response(404)

    def _reload_settings(self) -> None:
        loaded = load_node_settings(self.settings_path)
        if loaded.is_error():
            _logger.error(
                "settings not reloaded; keeping the previous ones",
                extra={"reason": loaded.error.reason},
            )
            return
        changed = loaded.ok != self.settings
        logging.getLogger().setLevel(loaded.ok.log_level.upper())
        self.store.address = loaded.ok.store
        self.settings = loaded.ok
        _logger.info("settings reloaded", extra={"changed": changed})

    def _begin_stop(self) -> None:
        if self.is_stopping:
            return
        self.is_stopping = True
        _logger.info(
            "stop requested",
            extra={"in_progress": self.caller_handler.requests_in_progress},
        )
        self.coordinator.is_stopping = True
        self.caller_listener.is_closing = True
        self._stop_task = asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        """Serves until callers use other entries, then finishes all jobs.

        Ends when no request or job is left, or shortly before the end of the
        grace time.
        """
        started = clock.now()
        deadline = started + self.settings.stop_grace_s - SHUTDOWN_MARGIN_S
        while clock.now() < deadline:
            await asyncio.sleep(0.05)
            elapsed = clock.now() - started
            if elapsed >= NEW_JOBS_ACCEPTED_S:
                self.caller_handler.rejects_new_jobs = True
            idle = self.caller_handler.requests_in_progress == 0
            driver = self.coordinator.driver
            if elapsed >= LOAD_BALANCER_REMOVAL_S and idle:
                self.caller_listener.close_idle_connections()
                if driver is None or driver.is_idle:
                    break
        if self.coordinator.driver is not None:
            self.coordinator.driver.close()
        self._stopped.set()


def run_command(argv: list[str] | None) -> int:
    """Runs an entry; see `anvilford.node.main`, which calls it."""
    parser = argparse.ArgumentParser(
        prog="anvilford.node",
        description="Entry of the anvilford dispatcher on the platform.",
        epilog=(
            "Exit status: 0 after a planned stop, 2 if the settings are"
            " invalid."
        ),
    )
    parser.add_argument("settings", help="JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    arguments = parser.parse_args(argv)
    loaded = load_node_settings(arguments.settings)
    if loaded.is_error():
        print(
            f"anvilford.node: invalid settings in {arguments.settings}:"
            f" {loaded.error.reason}",
            file=sys.stderr,
        )
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        return 0
    settings = loaded.ok
    require_acceleration()
    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logging(
        output,
        settings.log_level.upper(),
        {"node": settings.name},
        LogRateLimiter(output),
    )
    uvloop.run(_serve(settings, arguments.settings))
    return 0


async def _serve(settings: NodeSettings, path: str) -> None:
    await EntryNode(settings, path).run()
