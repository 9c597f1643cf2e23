"""Tests of the connections between entry daemons, over loopback TCP."""

import asyncio
import collections
import contextlib
import functools
import random
import time

from anvilford import peers
from anvilford import protocol
from anvilford.model import Incarnation
from anvilford.peers._tasks import TaskScope
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

LOCAL = Incarnation("vannes-a", "127.0.0.1:0", "a1")
LIMITS = peers.PeerLimits(
    hello_timeout_s=0.3,
    connect_timeout_s=0.5,
    min_backoff_s=0.03,
    max_backoff_s=0.1,
)
HELLO = protocol.Hello("secret", LOCAL)
REQUEST = protocol.ConfigurationRequest()
ACKNOWLEDGEMENT = protocol.HandoverAck(True)


def asynchronous(test):
    """Runs a test in a new event loop and fails it after 20 s."""

    @functools.wraps(test)
    def run(**fixtures):
        asyncio.run(asyncio.wait_for(test(**fixtures), 20))

    return run


class RecordingCounters(collections.Counter):
    """Counters keyed by the metric name and label values, joined by blanks."""

    def increment(self, name, amount=1, **labels):
        """Adds `amount` to a counter."""
        self[" ".join((name, *labels.values()))] += amount

    def observe(self, name, seconds, **labels):
        """Counts the observation and ignores the latency."""
        self.increment(name, **labels)


@fixture
def counts():
    """Provides empty counters."""
    yield RecordingCounters()


def frame(message, request_id=0, is_reply=False):
    """Returns an encoded message with its length prefix."""
    body = protocol.encode(protocol.Envelope(request_id, is_reply, message))
    return len(body).to_bytes(4, "big") + body


def load_report(sequence):
    """Returns a one-way message identified by its sequence number."""
    return protocol.LoadReport("a1", sequence, 0, {})


async def reply_to_request(sender, message):
    """Handler that replies to `REQUEST` and to no other message."""
    return ACKNOWLEDGEMENT if message == REQUEST else None


def create_server(counts, handler=reply_to_request, limits=LIMITS, local=LOCAL):
    """Returns a server that listens on a free port, or that of `local`."""
    return peers.PeerServer(local, "secret", handler, counts, limits)


def create_links(counts, limits=LIMITS):
    """Returns outgoing links with the right token and a fixed seed."""
    return peers.PeerLinks(LOCAL, "secret", counts, random.Random(1), limits)


@contextlib.asynccontextmanager
async def scripted_server(on_connect):
    """Runs a server that reads the `Hello` and then calls `on_connect`.

    Yields:
        Address of the server, "IP:port".
    """

    async def accepted(reader, writer):
        with contextlib.closing(writer):
            await reader.readexactly(len(frame(HELLO)))
            await on_connect(reader, writer)

    scope = TaskScope()
    server = await asyncio.start_server(
        lambda *streams: scope.start(accepted(*streams)), "127.0.0.1", 0
    )
    async with scope, server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


async def wait_until(condition):
    """Waits up to 3 s until a condition holds."""
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.005)


@asynchronous
async def test_replies_match_requests(case, counts):
    """Guards against a call that returns the reply to another request.

    Fifty calls share one connection and are answered in reverse order.
    """

    async def handler(sender, message):
        case.assertEqual(sender, LOCAL)
        await asyncio.sleep((50 - message.sequence) / 1000)
        return protocol.ConfigurationReply(
            message.sequence, bytes(message.sequence * 10_000)
        )

    async with (
        create_server(counts, handler) as server,
        create_links(counts) as links,
    ):
        results = await asyncio.gather(
            *(links.call(server.address, load_report(i), 2) for i in range(50))
        )
    versions = [result.ok.version for result in results]
    case.assertEqual(versions, list(range(50)))
    case.assertEqual(counts["peer_connections_accepted"], 1)


@asynchronous
async def test_unauthenticated_peers_are_rejected(case, counts):
    """Guards against handling messages of unauthenticated peers.

    A first frame that is not a `Hello` with the right token, exceeds the size
    limit or does not arrive in time must end the connection.
    """
    table = [
        ("token", frame(protocol.Hello("guess", LOCAL)) + frame(REQUEST, 1)),
        ("no_hello", frame(REQUEST, 1)),
        ("no_hello", frame(protocol.Hello("x" * 5000, LOCAL))),
        ("no_hello", b"GET / HTTP/1.1\r\n\r\n"),
        ("hello_timeout", frame(HELLO)[:9]),
    ]
    async with create_server(counts) as server:
        host, port = server.address.split(":")
        for reason, first in table:
            counts.clear()
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(first)
            with contextlib.suppress(ConnectionResetError):
                received = await asyncio.wait_for(reader.read(), 3)
                case.assertEqual(received, b"")
            writer.close()
            key = f"peer_connections_rejected {reason}"
            # No other counter was incremented, so no message was handled.
            case.assertEqual(counts, {key: 1}, first[:20])


@asynchronous
async def test_failures_distinguish_sent_from_unsent_requests(case, counts):
    """Guards against `PeerRefused` for a request that the peer may have got.

    Callers take that failure as proof that the peer did not start the work.
    """

    async def close_after_first_byte(reader, writer):
        await reader.readexactly(1)

    async def never_reply(reader, writer):
        await reader.read()

    async with (
        create_links(counts) as links,
        scripted_server(close_after_first_byte) as address,
    ):
        result = await links.call(address, REQUEST, 1)
        case.assertEqual(result.error, peers.PeerLost())
    async with (
        create_links(counts) as links,
        scripted_server(never_reply) as address,
    ):
        result = await links.call(address, REQUEST, 0.2)
        case.assertEqual(result.error, peers.PeerTimeout())
        large = protocol.ConfigurationReply(1, bytes(9 * 2**20))
        for message, timeout, reason in (
            (REQUEST, 0, peers.RefusedReason.TIMEOUT),
            (load_report(2**70), 1, peers.RefusedReason.UNSENDABLE),
            (large, 1, peers.RefusedReason.UNSENDABLE),
        ):
            result = await links.call(address, message, timeout)
            case.assertEqual(result.error, peers.PeerRefused(reason))
        call = asyncio.create_task(links.call(address, REQUEST, 5))
        await asyncio.sleep(0.05)
        links.close_all_except(())
        case.assertEqual((await call).error, peers.PeerLost())
    result = await links.call(address, REQUEST, 1)
    case.assertEqual(
        result.error, peers.PeerRefused(peers.RefusedReason.CLOSED)
    )


@asynchronous
async def test_write_buffer_is_bounded_when_peer_stops_reading(case, counts):
    """Guards against unbounded write buffers for a peer that stops reading."""

    async def stop_reading(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(0.5)

    async with (
        create_links(counts) as links,
        scripted_server(stop_reading) as address,
    ):
        large = protocol.ConfigurationReply(1, bytes(6 * 2**20))
        results = await asyncio.gather(
            *(links.call(address, large, 0.2) for _ in range(8))
        )
        failures = collections.Counter(r.error for r in results)
        refused = failures[peers.PeerRefused(peers.RefusedReason.TIMEOUT)]
        case.assertGreaterEqual(refused, 5, failures)
        case.assertEqual(refused + failures[peers.PeerTimeout()], 8)


@asynchronous
async def test_late_and_duplicate_replies_are_ignored(case, counts):
    """Guards against a late or repeated reply matched to a later request."""

    async def on_connect(reader, writer):
        size = len(frame(REQUEST, 1))
        await reader.readexactly(2 * size)
        for request_id, version in ((1, 1), (2, 2), (2, 3), (9, 4)):
            reply = protocol.ConfigurationReply(version, b"")
            writer.write(frame(reply, request_id, True))
        await reader.readexactly(size)
        writer.write(frame(protocol.ConfigurationReply(5, b""), 3, True))
        await reader.read()

    async with (
        create_links(counts) as links,
        scripted_server(on_connect) as address,
    ):
        late = await links.call(address, REQUEST, 0.2)
        case.assertEqual(late.error, peers.PeerTimeout())
        for version in (2, 5):
            result = await links.call(address, REQUEST, 1)
            case.assertEqual(
                result.ok, protocol.ConfigurationReply(version, b"")
            )
        case.assertEqual(counts["peer_replies_unmatched"], 3)


@asynchronous
async def test_reconnects_after_backoff(case, counts):
    """Guards against reconnecting in a busy loop, or never again.

    A peer that is not listening must be tried at the pauses of the backoff
    only, and must be reachable again once it listens.
    """
    with case.assertLogs("anvilford.peers") as logs:
        async with create_server(counts) as server:
            local = Incarnation("vannes-a", server.address, "a2")
        async with create_links(counts) as links:
            refusals = []
            started = time.monotonic()
            for _ in range(200):
                result = await links.call(local.address, REQUEST, 1)
                refusals.append(result.error.reason)
                await asyncio.sleep(0.001)
            attempts = refusals.count(peers.RefusedReason.CONNECT)
            # With the smallest jitter, pauses last 15, 30, 50, 50 ms and so
            # on.
            max_attempts = 3 + (time.monotonic() - started) / 0.05
            case.assertTrue(
                2 <= attempts <= max_attempts, (attempts, max_attempts)
            )
            case.assertIn(peers.RefusedReason.BACKOFF, refusals)
            case.assertEqual(counts["peer_connect_failures"], attempts)
            async with create_server(counts, local=local):
                links.send(local.address, load_report(1))
                await asyncio.sleep(0.15)
                result = await links.call(local.address, REQUEST, 1)
                case.assertEqual(result.ok, ACKNOWLEDGEMENT)
                received = "peer_messages_received LoadReport"
                await wait_until(lambda: counts[received] == 1)
    messages = [record.getMessage() for record in logs.records]
    case.assertEqual(messages, ["peer unreachable", "peer reachable"])


@asynchronous
async def test_one_way_queue_drops_the_oldest(case, counts):
    """Guards against a full queue that drops the newest message, or grows."""
    received = []

    async def handler(sender, message):
        received.append(message.sequence)

    limits = peers.PeerLimits(max_queued_messages=3)
    async with create_server(counts, handler) as server:
        async with create_links(counts, limits) as links:
            for sequence in range(10):
                links.send(server.address, load_report(sequence))
            await wait_until(lambda: len(received) == 3)
            links.send(server.address, load_report(10))
        await wait_until(lambda: len(received) == 4)
        case.assertEqual(received, [7, 8, 9, 10])
        case.assertEqual(
            counts["peer_messages_dropped LoadReport queue_full"], 7
        )


@asynchronous
async def test_requests_in_progress_are_bounded(case, counts):
    """Guards against one peer whose requests occupy the whole daemon.

    The server must not handle more than `max_concurrent_messages` at once.
    """
    concurrent = max_concurrent = 0

    async def handler(sender, message):
        nonlocal concurrent, max_concurrent
        concurrent += 1
        max_concurrent = max(max_concurrent, concurrent)
        await asyncio.sleep(0.01)
        concurrent -= 1
        return ACKNOWLEDGEMENT

    server = create_server(
        counts, handler, peers.PeerLimits(max_concurrent_messages=3)
    )
    async with server, create_links(counts) as links:
        results = await asyncio.gather(
            *(links.call(server.address, REQUEST, 2) for _ in range(12))
        )
    case.assertTrue(all(result.is_ok() for result in results))
    case.assertEqual(max_concurrent, 3)


@asynchronous
async def test_close_lets_requests_finish(case, counts):
    """Guards against a planned stop that loses replies or never ends.

    A request that finishes within `close_timeout_s` gets its reply; one that
    does not is cancelled.
    """
    handler_started = asyncio.Event()

    async def handler(sender, message):
        handler_started.set()
        await asyncio.sleep(0.1 if message == REQUEST else 60)
        return ACKNOWLEDGEMENT

    limits = peers.PeerLimits(close_timeout_s=0.5)
    async with create_links(counts) as links:
        async with create_server(counts, handler, limits) as server:
            calls = [
                asyncio.create_task(links.call(server.address, m, 5))
                for m in (REQUEST, load_report(1))
            ]
            await handler_started.wait()
            started = time.monotonic()
        case.assertLess(time.monotonic() - started, 1)
        finished, cancelled = await asyncio.gather(*calls)
        case.assertEqual(finished.ok, ACKNOWLEDGEMENT)
        case.assertEqual(cancelled.error, peers.PeerLost())


@asynchronous
async def test_bad_frames_and_handler_faults_are_contained(case, counts):
    """Guards against one bad frame or one handler error that stops the server.

    A malformed or too large frame must end only its own connection, and a
    handler that raises must leave only its own request without a reply.
    """

    async def handler(sender, message):
        if message != REQUEST:
            raise RuntimeError
        return ACKNOWLEDGEMENT

    with case.assertLogs("anvilford.peers"):
        async with (
            create_server(counts, handler) as server,
            create_links(counts) as links,
        ):
            host, port = server.address.split(":")
            for bad in (b"\0\0\0\2\xff\xff", b"\xff\xff\xff\xff"):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(frame(HELLO) + bad)
                case.assertEqual(await reader.read(), b"")
                writer.close()
            failed = await links.call(server.address, load_report(1), 0.2)
            case.assertEqual(failed.error, peers.PeerTimeout())
            result = await links.call(server.address, REQUEST, 1)
            case.assertEqual(result.ok, ACKNOWLEDGEMENT)
        case.assertEqual(counts["peer_frames_bad encoding"], 1)
        case.assertEqual(counts["peer_frames_bad too_large"], 1)
        case.assertEqual(counts["peer_handler_failures LoadReport"], 1)
