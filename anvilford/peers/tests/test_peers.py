"""Tests of the connections between entry daemons, on loopback."""

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
GET = protocol.ConfigurationRequest()
YES = protocol.HandoverAck(True)


def asynchronous(test):
    """Runs a test in a fresh event loop; it fails if it hangs."""

    @functools.wraps(test)
    def run(**fixtures):
        asyncio.run(asyncio.wait_for(test(**fixtures), 20))

    return run


class Counts(collections.Counter):
    """Counts by name and label values."""

    def increment(self, name, amount=1, **labels):
        """Adds to a counter."""
        self[" ".join((name, *labels.values()))] += amount

    def observe(self, name, seconds, **labels):
        """Counts the latency instead of keeping it."""
        self.increment(name, **labels)


@fixture
def counts():
    """Fresh counters."""
    yield Counts()


def frame(message, request_id=0, is_reply=False):
    """Bytes of one frame."""
    body = protocol.encode(protocol.Envelope(request_id, is_reply, message))
    return len(body).to_bytes(4, "big") + body


def report(sequence):
    """A message that can be told from others."""
    return protocol.LoadReport("a1", sequence, 0, {})


async def confirm(sender, message):
    """Handler that tells requests from other messages."""
    return YES if message == GET else None


def serve(counts, handler=confirm, limits=LIMITS, local=LOCAL):
    """A server on a free port."""
    return peers.PeerServer(local, "secret", handler, counts, limits)


def connect(counts, limits=LIMITS):
    """Links to any server."""
    return peers.PeerLinks(LOCAL, "secret", counts, random.Random(1), limits)


@contextlib.asynccontextmanager
async def raw_server(on_connect):
    """A server that reads the `Hello` and then does as it is told."""

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


async def until(condition):
    """Waits for a condition."""
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.005)


@asynchronous
async def test_replies_match_requests(case, counts):
    """Guards against a caller that gets the reply to another request."""

    async def handler(sender, message):
        case.assertEqual(sender, LOCAL)
        await asyncio.sleep((50 - message.sequence) / 1000)
        return protocol.ConfigurationReply(
            message.sequence, bytes(message.sequence * 10_000)
        )

    async with serve(counts, handler) as server, connect(counts) as links:
        results = await asyncio.gather(
            *(links.call(server.address, report(i), 2) for i in range(50))
        )
    versions = [result.ok.version for result in results]
    case.assertEqual(versions, list(range(50)))
    case.assertEqual(counts["peer_connections_accepted"], 1)


@asynchronous
async def test_strangers_are_rejected(case, counts):
    """Guards against messages or memory taken from unauthenticated peers."""
    table = [
        ("token", frame(protocol.Hello("guess", LOCAL)) + frame(GET, 1)),
        ("no_hello", frame(GET, 1)),
        ("no_hello", frame(protocol.Hello("x" * 5000, LOCAL))),
        ("no_hello", b"GET / HTTP/1.1\r\n\r\n"),
        ("hello_timeout", frame(HELLO)[:9]),
    ]
    async with serve(counts) as server:
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
            # One count only, so no message reached the handler.
            case.assertEqual(counts, {key: 1}, first[:20])


@asynchronous
async def test_failures_tell_what_was_sent(case, counts):
    """Guards against a request reported as unsent that may have run."""

    async def hang_up(reader, writer):
        await reader.readexactly(1)

    async def be_silent(reader, writer):
        await reader.read()

    async with connect(counts) as links, raw_server(hang_up) as address:
        result = await links.call(address, GET, 1)
        case.assertEqual(result.error, peers.PeerLost())
    async with connect(counts) as links, raw_server(be_silent) as address:
        result = await links.call(address, GET, 0.2)
        case.assertEqual(result.error, peers.PeerTimeout())
        large = protocol.ConfigurationReply(1, bytes(9 * 2**20))
        for message, timeout, reason in (
            (GET, 0, peers.RefusedReason.TIMEOUT),
            (report(2**70), 1, peers.RefusedReason.UNSENDABLE),
            (large, 1, peers.RefusedReason.UNSENDABLE),
        ):
            result = await links.call(address, message, timeout)
            case.assertEqual(result.error, peers.PeerRefused(reason))
        call = asyncio.create_task(links.call(address, GET, 5))
        await asyncio.sleep(0.05)
        links.close_all_except(())
        case.assertEqual((await call).error, peers.PeerLost())
    result = await links.call(address, GET, 1)
    case.assertEqual(
        result.error, peers.PeerRefused(peers.RefusedReason.CLOSED)
    )


@asynchronous
async def test_stopped_reader_bounds_the_buffer(case, counts):
    """Guards against unbounded memory for a peer that is frozen."""

    async def stop(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(0.5)

    async with connect(counts) as links, raw_server(stop) as address:
        large = protocol.ConfigurationReply(1, bytes(6 * 2**20))
        results = await asyncio.gather(
            *(links.call(address, large, 0.2) for _ in range(8))
        )
        failures = collections.Counter(r.error for r in results)
        unsent = failures[peers.PeerRefused(peers.RefusedReason.TIMEOUT)]
        case.assertGreaterEqual(unsent, 5, failures)
        case.assertEqual(unsent + failures[peers.PeerTimeout()], 8)


@asynchronous
async def test_late_and_duplicate_replies_change_nothing(case, counts):
    """Guards against a reply that answers a later request."""

    async def on_connect(reader, writer):
        size = len(frame(GET, 1))
        await reader.readexactly(2 * size)
        for request_id, version in ((1, 1), (2, 2), (2, 3), (9, 4)):
            reply = protocol.ConfigurationReply(version, b"")
            writer.write(frame(reply, request_id, True))
        await reader.readexactly(size)
        writer.write(frame(protocol.ConfigurationReply(5, b""), 3, True))
        await reader.read()

    async with connect(counts) as links, raw_server(on_connect) as address:
        late = await links.call(address, GET, 0.2)
        case.assertEqual(late.error, peers.PeerTimeout())
        for version in (2, 5):
            result = await links.call(address, GET, 1)
            case.assertEqual(
                result.ok, protocol.ConfigurationReply(version, b"")
            )
        case.assertEqual(counts["peer_replies_unmatched"], 3)


@asynchronous
async def test_reconnects_after_backoff(case, counts):
    """Guards against hot reconnect loops and links that stay down."""
    with case.assertLogs("anvilford.peers") as logs:
        async with serve(counts) as server:
            local = Incarnation("vannes-a", server.address, "a2")
        async with connect(counts) as links:
            refusals = []
            started = time.monotonic()
            for _ in range(200):
                result = await links.call(local.address, GET, 1)
                refusals.append(result.error.reason)
                await asyncio.sleep(0.001)
            attempts = refusals.count(peers.RefusedReason.CONNECT)
            # Pauses last at least 15, 30, 50, 50 ms and so on.
            most = 3 + (time.monotonic() - started) / 0.05
            case.assertTrue(2 <= attempts <= most, (attempts, most))
            case.assertIn(peers.RefusedReason.BACKOFF, refusals)
            case.assertEqual(counts["peer_connect_failures"], attempts)
            async with serve(counts, local=local):
                links.send(local.address, report(1))
                await asyncio.sleep(0.15)
                result = await links.call(local.address, GET, 1)
                case.assertEqual(result.ok, YES)
                received = "peer_messages_received LoadReport"
                await until(lambda: counts[received] == 1)
    messages = [record.getMessage() for record in logs.records]
    case.assertEqual(messages, ["peer unreachable", "peer reachable"])


@asynchronous
async def test_one_way_queue_drops_the_oldest(case, counts):
    """Guards against stale news sent instead of fresh, and unbounded queues."""
    received = []

    async def handler(sender, message):
        received.append(message.sequence)

    limits = peers.PeerLimits(max_queued_messages=3)
    async with serve(counts, handler) as server:
        async with connect(counts, limits) as links:
            for sequence in range(10):
                links.send(server.address, report(sequence))
            await until(lambda: len(received) == 3)
            links.send(server.address, report(10))
        await until(lambda: len(received) == 4)
        case.assertEqual(received, [7, 8, 9, 10])
        case.assertEqual(
            counts["peer_messages_dropped LoadReport queue_full"], 7
        )


@asynchronous
async def test_requests_in_progress_are_bounded(case, counts):
    """Guards against one peer that occupies the whole daemon."""
    running = peak = 0

    async def handler(sender, message):
        nonlocal running, peak
        running += 1
        peak = max(peak, running)
        await asyncio.sleep(0.01)
        running -= 1
        return YES

    server = serve(counts, handler, peers.PeerLimits(max_concurrent_messages=3))
    async with server, connect(counts) as links:
        results = await asyncio.gather(
            *(links.call(server.address, GET, 2) for _ in range(12))
        )
    case.assertTrue(all(result.is_ok() for result in results))
    case.assertEqual(peak, 3)


@asynchronous
async def test_close_lets_requests_finish(case, counts):
    """Guards against replies cut off by a planned stop, or a hanging stop."""
    begun = asyncio.Event()

    async def handler(sender, message):
        begun.set()
        await asyncio.sleep(0.1 if message == GET else 60)
        return YES

    limits = peers.PeerLimits(close_timeout_s=0.5)
    async with connect(counts) as links:
        async with serve(counts, handler, limits) as server:
            calls = [
                asyncio.create_task(links.call(server.address, m, 5))
                for m in (GET, report(1))
            ]
            await begun.wait()
            started = time.monotonic()
        case.assertLess(time.monotonic() - started, 1)
        finished, cut_off = await asyncio.gather(*calls)
        case.assertEqual(finished.ok, YES)
        case.assertEqual(cut_off.error, peers.PeerLost())


@asynchronous
async def test_bad_frames_and_handler_faults_are_contained(case, counts):
    """Guards against one bad frame or one fault that stops the server."""

    async def handler(sender, message):
        if message != GET:
            raise RuntimeError
        return YES

    with case.assertLogs("anvilford.peers"):
        async with serve(counts, handler) as server, connect(counts) as links:
            host, port = server.address.split(":")
            for bad in (b"\0\0\0\2\xff\xff", b"\xff\xff\xff\xff"):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(frame(HELLO) + bad)
                case.assertEqual(await reader.read(), b"")
                writer.close()
            failed = await links.call(server.address, report(1), 0.2)
            case.assertEqual(failed.error, peers.PeerTimeout())
            result = await links.call(server.address, GET, 1)
            case.assertEqual(result.ok, YES)
        case.assertEqual(counts["peer_frames_bad encoding"], 1)
        case.assertEqual(counts["peer_frames_bad too_large"], 1)
        case.assertEqual(counts["peer_handler_failures LoadReport"], 1)
