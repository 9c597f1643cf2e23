"""Tests of the limits of a listener, with clients on loopback."""

import asyncio
import contextlib
import random

import uvloop

from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import RequestBudget
from anvilford.http1 import Response
from anvilford.http1 import SharedBudget
from testkit import function_tests

load_tests = function_tests(__name__)

CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_TIMEOUT_S = 10.0


class Client:
    """A client that sends bytes and reads answers.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes; returns the head of the next answer, or nothing.

        The body of the answer is read too.
        """
        self.writer.write(data)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await self.reader.readuntil(b"\r\n\r\n")
                _, _, rest = head.partition(b"Content-Length: ")
                await self.reader.readexactly(int(rest.partition(b"\r\n")[0]))
                return head
        return b""


@contextlib.asynccontextmanager
async def listening(limits, handler=None, shared=None, sizes=None):
    """Opens a listener; yields it and a function that connects to it."""

    async def echo(request: Request) -> Response:
        return Response(200, str(len(request.body)).encode())

    async with contextlib.AsyncExitStack() as stack:
        listener = await stack.enter_async_context(
            HttpListener(
                "127.0.0.1:0",
                handler or echo,
                limits,
                shared=shared,
                sizes=sizes,
            )
        )

        async def connect() -> Client:
            host, _, port = listener.address.rpartition(":")
            client = Client(*await asyncio.open_connection(host, int(port)))
            stack.callback(client.writer.close)
            return client

        yield listener, connect


def run(scenario):
    """Runs a scenario on the event loops of the tests and of the entries."""
    for runner in (asyncio.run, uvloop.run):
        runner(scenario())


def test_refusals_have_their_status(case):
    """Guards against requests over a limit that are gathered without end.

    None of them ever completes, and each is answered all the same.
    """
    limits = ListenerLimits(
        max_header_bytes=500, max_body_bytes=100, max_url_bytes=256
    )
    requests = {
        b"414": b"GET /" + b"u" * 300,
        b"431": b"GET / HTTP/1.1\r\nX-Long: " + b"h" * 3000,
        b"413": CHUNKED + b"80\r\n" + b"x" * 128,
        b"400": b"GET / HTTP/1.1\r\nbad header\r\n",
    }

    async def scenario():
        async with listening(limits) as (_, connect):
            for status, data in requests.items():
                head = await (await connect()).exchange(data)
                case.assertEqual(head[9:12], status, data[:40])
                case.assertIn(b"Connection: close", head)
            for data in (
                CHUNKED + b"1;" + b"e" * 5000,
                CHUNKED + b"0\r\nX-Trailer: " + b"t" * 5000,
                CHUNKED + b"000000000000000000000000001;e\r\nx\r\n" * 300,
            ):
                head = await (await connect()).exchange(data)
                case.assertEqual(head[9:12], b"413", data[-40:])

    run(scenario)


def test_memory_is_freed_and_ordinary_requests_served(case):
    """Guards against a crowd of bodies that shuts ordinary callers out."""

    async def scenario():
        shared = SharedBudget(RequestBudget(1_000_000))
        async with listening(ListenerLimits(), shared=shared) as (_, connect):
            crowd = [await connect() for _ in range(20)]
            for client in crowd:
                client.writer.write(CHUNKED + b"30d40\r\n" + b"x" * 190_000)
                await asyncio.sleep(0.02)
                case.assertLessEqual(shared.memory.held_bytes, 1_250_000)
            body = b"Content-Length: 4000\r\n\r\n" + b"y" * 4000
            client = await connect()
            head = await client.exchange(b"POST / HTTP/1.1\r\n" + body)
            case.assertEqual(head[9:12], b"200")
            refused = 0
            for client in crowd:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        head = await client.reader.readuntil(b"\r\n\r\n")
                        case.assertEqual(head[9:12], b"503")
                        case.assertIn(b"Retry-After: 1", head)
                        refused += 1
            case.assertGreaterEqual(refused, 14)
        # The event loop reports the end of connections in its next turns.
        await asyncio.sleep(0.1)
        case.assertEqual(shared.memory.held_bytes, 0)

    run(scenario)


def test_queued_requests_are_refused_and_the_first_is_answered(case):
    """Guards against a refusal that takes back a request that runs.

    The requests behind it are answered 503, and never reach the handler.
    """

    async def scenario():
        handled = []
        release = asyncio.Event()

        async def handler(request):
            handled.append(request)
            await release.wait()
            return Response(200)

        body = b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
        body += b"x" * 100_000
        shared = SharedBudget(RequestBudget(300_000))
        limits = ListenerLimits()
        async with listening(limits, handler, shared) as (_, connect):
            client = await connect()
            client.writer.write(body * 6)
            # Longer than a refused client may linger.
            await asyncio.sleep(1.7)
            release.set()
            head = await client.exchange(b"")
            case.assertEqual(head[9:12], b"200")
            head = await client.exchange(b"")
            case.assertEqual(head[9:12], b"503")
            case.assertEqual(len(handled), 1)

    run(scenario)


def test_deadline_of_an_incomplete_request(case):
    """Guards against an incomplete request that stays open forever."""
    limits = ListenerLimits(request_timeout_s=0.5)

    async def scenario():
        async with listening(limits) as (listener, connect):
            client = await connect()
            head = await client.exchange(b"GET / HTTP/1.1\r\nX: ")
            case.assertEqual(head[9:12], b"408")
            silent = await connect()
            case.assertEqual(await client.reader.read(), b"")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while len(listener.connections) > 1:
                    await asyncio.sleep(0.05)
            case.assertFalse(silent.reader.at_eof())
            head = await silent.exchange(b"GET / HTTP/1.1\r\n\r\n")
            case.assertEqual(head[9:12], b"200")

    run(scenario)


def test_connections_are_bounded(case):
    """Guards against descriptors that run out; served ones stay open."""
    limits = ListenerLimits(max_connections=10, max_incomplete_connections=6)

    async def scenario():
        async with listening(limits) as (listener, connect):
            kept = await connect()
            await kept.exchange(b"GET / HTTP/1.1\r\n\r\n")
            for _ in range(30):
                client = await connect()
                client.writer.write(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0.01)
                case.assertLessEqual(len(listener.connections), 10)
            head = await kept.exchange(b"GET / HTTP/1.1\r\n\r\n")
            case.assertEqual(head[9:12], b"200")
            head = await (await connect()).exchange(b"GET / HTTP/1.1\r\n\r\n")
            case.assertEqual(head[9:12], b"200")

    run(scenario)


def test_unread_answers_hold_up_and_end_the_connection(case):
    """Guards against answers that gather for a client that does not read."""
    limits = ListenerLimits(
        max_unread_answer_bytes=10_000,
        unread_answer_timeout_s=0.5,
        send_buffer_bytes=4096,
    )
    handled = []

    async def handler(request):
        handled.append(request)
        return Response(200, b"x" * 50_000)

    async def scenario():
        handled.clear()
        async with listening(limits, handler) as (listener, connect):
            client = await connect()
            client.writer.transport.pause_reading()
            client.writer.write(b"GET / HTTP/1.1\r\n\r\n" * 1000)
            await asyncio.sleep(0.2)
            case.assertLess(len(handled), 500)
            for _ in range(50):
                await asyncio.sleep(0.1)
                if not listener.connections:
                    break
            case.assertEqual(len(listener.connections), 0)
            case.assertLess(len(handled), 500)

    run(scenario)


def test_other_events_come_between_costly_slices(case):
    """Guards against a loop that parses one request after the other.

    The clients together send 30 bodies in chunks of one byte at once. The
    number of times that the loop turned meanwhile does not depend on the speed
    of the machine.
    """

    async def scenario():
        turns = 0
        async with listening(ListenerLimits()) as (_, connect):
            clients = [await connect() for _ in range(30)]
            for client in clients:
                client.writer.write(CHUNKED + b"1\r\nx\r\n" * 20_000)
            loop = asyncio.get_running_loop()
            end = loop.time() + 1.0
            while loop.time() < end:
                await asyncio.sleep(0)
                turns += 1
            case.assertGreater(turns, 30)
            head = await (await connect()).exchange(b"GET / HTTP/1.1\r\n\r\n")
            case.assertEqual(head[9:12], b"200")

    run(scenario)


def test_configured_sizes_apply_to_the_next_request(case):
    """Guards against the operator's limits being decoded and not used."""
    sizes = [(16384, 10)]

    async def scenario():
        sizes[0] = (16384, 10)
        async with listening(ListenerLimits(), sizes=lambda: sizes[0]) as (
            _,
            connect,
        ):
            request = (
                b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n" + b"x" * 11
            )
            head = await (await connect()).exchange(request)
            case.assertEqual(head[9:12], b"413")
            sizes[0] = (16384, 11)
            head = await (await connect()).exchange(request)
            case.assertEqual(head[9:12], b"200")

    run(scenario)


def test_requests_arrive_whole_whatever_their_pieces(case):
    """Guards against bytes that are lost or doubled between slices and turns.

    Pipelined requests of many sizes arrive in random pieces. Fixed seed.
    """
    rng = random.Random(7)
    bodies = [
        rng.randbytes(rng.choice((0, 9, 8192, 50_000))) for _ in range(40)
    ]
    data = b""
    for body in bodies:
        if rng.random() < 0.5:
            head = f"POST / HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
            data += head.encode() + body
            continue
        data += CHUNKED
        start = 0
        while start < len(body):
            piece = body[start : start + rng.choice((1, 7, 5000))]
            data += f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
            start += len(piece)
        data += b"0\r\n\r\n"
    received = []

    async def handler(request):
        received.append(request.body)
        await asyncio.sleep(0)
        return Response(200)

    async def scenario():
        received.clear()
        async with listening(ListenerLimits(), handler) as (_, connect):
            client = await connect()
            position = 0
            while position < len(data):
                size = rng.choice((1, 100, 3000, 70_000))
                client.writer.write(data[position : position + size])
                position += size
                await asyncio.sleep(0)
            for _ in bodies:
                head = await client.exchange(b"")
                case.assertEqual(head[9:12], b"200")
        case.assertEqual([len(b) for b in received], [len(b) for b in bodies])
        case.assertEqual(received, bodies)

    run(scenario)
