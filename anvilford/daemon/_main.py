"""Command line, start and stop of the entry daemon `anvilfordd`."""

import argparse
import asyncio
import contextlib
import gc
import logging
import random
import secrets
import signal
import sys
import threading

import attrs
import cherrypy
from cherrypy.process.servers import ServerAdapter

from anvilford import __version__
from anvilford.daemon._operators import OperatorAdapter
from anvilford.daemon._ports import CallerAdapter
from anvilford.daemon._runtime import EntryRuntime
from anvilford.entry import CoreOptions
from anvilford.entry import EntryCore
from anvilford.http import CallersApplication
from anvilford.http import HttpServer
from anvilford.http import operator_application
from anvilford.http import TokenTable
from anvilford.model import Incarnation
from anvilford.peers import PeerLimits
from anvilford.peers import PeerLinks
from anvilford.peers import PeerServer
from anvilford.protocol import require_acceleration
from anvilford.settings import describe_failure
from anvilford.settings import HttpSettings
from anvilford.settings import load_settings
from anvilford.settings import Settings
from anvilford.shares import ConnectionSplit
from anvilford.submissions import RetentionLimits
from anvilford.tables import PlatformClient
from anvilford.tables import PlatformSettings
from anvilford.targets import TargetClient
from anvilford.targets import TargetSettings
from anvilford.telemetry import configure_logging
from anvilford.telemetry import Counters
from anvilford.telemetry import Tracing

EXIT_INVALID_SETTINGS = 2
INCARNATION_TOKEN_BYTES = 8
TAG_KEY_BYTES = 32
OPERATOR_THREADS = 8

logger = logging.getLogger("anvilford.daemon")


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon until a planned stop is complete.

    SIGTERM and SIGINT begin a planned stop. Each invalid setting is printed to
    standard error.

    Args:
        argv: Command line arguments; those of the process if None.

    Returns:
        Exit status: 0 after a planned stop or a successful `--check`, 2 if the
        settings are invalid.
    """
    arguments = _parse_arguments(argv)
    loaded = load_settings(arguments.settings)
    if loaded.is_error():
        for failure in loaded.error:
            print(f"anvilfordd: {describe_failure(failure)}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if arguments.check:
        return 0
    configure_logging(sys.stderr, loaded.ok.log.level.upper())
    with contextlib.ExitStack() as stack:
        _run(loaded.ok, stack)
    return 0


def _parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="anvilfordd",
        description="Entry daemon of the anvilford dispatcher.",
        epilog="Exit status: 0 after a planned stop, 2 if the settings are "
        "invalid.",
    )
    parser.add_argument("settings", help="path of the JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(argv)


def core_options(settings: Settings) -> CoreOptions:
    """Converts daemon settings to the options of `EntryCore`, in seconds."""
    targets = settings.targets
    return CoreOptions(
        weight=settings.vm.weight,
        seeds=settings.peers.seeds,
        gossip_interval=settings.peers.gossip_ms / 1000,
        gossip_fanout=settings.peers.gossip_fanout,
        suspect_after=settings.peers.suspect_ms / 1000,
        drain_notice=settings.drain.notice_ms / 1000,
        handover_timeout=settings.drain.handover_timeout_ms / 1000,
        slots=targets.slots,
        connections=ConnectionSplit(
            targets.connections_home,
            targets.connections_remote,
            targets.entries_per_zone,
            targets.remote_entries,
        ),
        retention=RetentionLimits(
            settings.retention.records, settings.retention.bytes
        ),
    )


def target_client_settings(settings: Settings) -> TargetSettings:
    """Converts daemon settings to the settings of `TargetClient`."""
    targets = settings.targets
    return TargetSettings(
        connect_timeout_ms=targets.connect_timeout_ms,
        idle_ms=targets.idle_ms,
        threads=targets.threads,
        response_bytes=targets.response_bytes,
        grace_ms=targets.grace_ms,
    )


def _run(settings: Settings, stack: contextlib.ExitStack) -> None:
    drain_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: drain_requested.set())
    runtime = _start_loop(settings, stack)
    _start_http(settings, runtime, stack)
    # A full garbage collection pauses every thread: for 38 ms with the 78,000
    # objects that exist after the start. Nearly all of them live until the
    # daemon exits, so they are excluded from later collections.
    gc.collect()
    gc.freeze()
    logger.info("started", extra={"zone": settings.vm.zone})
    drain_requested.wait()
    runtime.request_drain()
    runtime.stopped.wait()


def _start_loop(
    settings: Settings, stack: contextlib.ExitStack
) -> EntryRuntime:
    """Starts the event loop in its own thread and the entry on it.

    Args:
        settings: Settings of the daemon.
        stack: Receives the callbacks that close the entry and then stop the
            loop and join its thread.

    Returns:
        The started entry.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, name="entry-loop")
    thread.start()
    stack.callback(_stop_loop, loop, thread)
    closing = contextlib.AsyncExitStack()
    stack.callback(
        lambda: asyncio.run_coroutine_threadsafe(
            closing.aclose(), loop
        ).result()
    )
    return asyncio.run_coroutine_threadsafe(
        _open_entry(settings, closing), loop
    ).result()


def _stop_loop(
    loop: asyncio.AbstractEventLoop, thread: threading.Thread
) -> None:
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def _create_core(settings: Settings, now: float) -> EntryCore:
    """Creates the `EntryCore` of a new incarnation with a random token.

    Args:
        settings: Settings of the daemon.
        now: Time of the event loop in seconds.
    """
    me = Incarnation(
        settings.vm.zone,
        settings.listen.peers,
        secrets.token_hex(INCARNATION_TOKEN_BYTES),
    )
    return EntryCore(
        me,
        secrets.token_bytes(TAG_KEY_BYTES),
        core_options(settings),
        random.Random(secrets.randbits(64)),
        now,
    )


async def _open_entry(
    settings: Settings, stack: contextlib.AsyncExitStack
) -> EntryRuntime:
    """Opens the clients, the entry and the peer server on the running loop.

    Args:
        settings: Settings of the daemon.
        stack: Closes what was opened, in reverse order.

    Returns:
        The started entry.
    """
    require_acceleration()
    core = _create_core(settings, asyncio.get_running_loop().time())
    me = core.me
    counters = Counters()
    tracing = Tracing(me.address, settings.trace.capacity, settings.trace.ratio)
    platform = stack.enter_context(
        PlatformClient(
            PlatformSettings(
                settings.platform.address, settings.platform.timeout_ms
            )
        )
    )
    runtime = EntryRuntime(
        core,
        counters,
        tracing,
        platform,
        settings.platform.poll_ms / 1000,
        settings.job_parse_limits(),
    )
    targets = stack.enter_context(
        TargetClient(target_client_settings(settings), core.connection_limit)
    )
    links = await stack.enter_async_context(
        PeerLinks(
            me, settings.peers.token, counters, random.Random(), PeerLimits()
        )
    )
    await runtime.start(stack, targets, links)
    await stack.enter_async_context(
        PeerServer(
            me, settings.peers.token, runtime.receive, counters, PeerLimits()
        )
    )
    return runtime


def _start_http(
    settings: Settings, runtime: EntryRuntime, stack: contextlib.ExitStack
) -> None:
    """Starts the HTTP servers of callers and operators.

    The stack stops both servers.
    """
    callers = CallersApplication(
        CallerAdapter(runtime, settings.http.wait_limit_ms),
        TokenTable(settings.callers),
        settings.job_parse_limits(),
    )
    cherrypy.config.update({"environment": "production", "log.screen": False})
    cherrypy.engine.autoreload.unsubscribe()
    # CherryPy would otherwise start its default server on port 8080 next to
    # the listeners from the settings.
    cherrypy.server.unsubscribe()
    logging.getLogger("cherrypy").setLevel(logging.WARNING)
    operators = operator_application(
        OperatorAdapter(runtime), settings.operators
    )
    # The callers' application rejects oversized bodies itself, because the
    # server's own error response is not JSON; 0 disables the server's limit.
    _subscribe_server(
        settings.listen.callers,
        callers,
        attrs.evolve(settings.http, body_bytes=0),
    )
    _subscribe_server(
        settings.listen.operators,
        operators,
        attrs.evolve(settings.http, threads=OPERATOR_THREADS),
    )
    cherrypy.engine.start()
    stack.callback(cherrypy.engine.exit)


def _subscribe_server(address: str, application, http: HttpSettings) -> None:
    """Adds an HTTP server for a WSGI application to CherryPy's engine."""
    host, _, port = address.rpartition(":")
    bind = (host.strip("[]"), int(port))
    server = HttpServer(
        bind,
        application,
        numthreads=http.threads,
        request_queue_size=http.socket_queue_size,
    )
    server.max_request_body_size = http.body_bytes
    ServerAdapter(cherrypy.engine, server, bind).subscribe()
