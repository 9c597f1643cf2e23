"""Tests of `HttpClient` and `HttpListener` against each other."""

import asyncio
import contextlib
import socket
import struct
import time

import uvloop

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.http1 import ResponseProgress
from testkit import function_tests

load_tests = function_tests(__name__)


@contextlib.asynccontextmanager
async def listening(handler, limits=ListenerLimits()):  # noqa: B008
    """Opens a listener for a handler and a client; yields both."""
    async with HttpListener("127.0.0.1:0", handler, limits) as listener:
        with HttpClient() as client:
            yield listener, client


async def echo(request: Request) -> Response:
    """Returns the body of the request with status 200."""
    return Response(200, request.body)


def test_connections_are_kept(case):
    """Calls reuse an idle connection; each new one has a cost."""

    async def scenario():
        async with listening(echo) as (listener, client):
            for body in (b"one", b"two", b""):
                answer = await client.call(
                    listener.address, "POST /x", body, 1.0
                )
                case.assertEqual(answer, ClientResponse(200, body))
            case.assertEqual(len(listener.connections), 1)

    asyncio.run(scenario())


def test_timeout_closes_idle_connections(case):
    """A timeout closes the other idle connections to the address too.

    When a server stops answering, all connections to it fail together; calls
    on the remaining ones would time out one after the other.
    """
    hang = asyncio.Event

    async def scenario():
        silent = False

        async def handler(request):
            if silent:
                await hang().wait()
            return await echo(request)

        async with listening(handler) as (listener, client):
            calls = (
                client.call(listener.address, "POST /x", b"a", 1.0)
                for _ in range(3)
            )
            await asyncio.gather(*calls)
            silent = True
            failed = await client.call(listener.address, "POST /", b"", 0.1)
            case.assertEqual(failed, CallFailed(True, "timeout"))
            case.assertEqual(client.idle_connection_count(listener.address), 0)

    asyncio.run(scenario())


async def parts_server(parts, pause):
    """Starts a server that answers in parts of 10 bytes, with pauses.

    It announces ten parts and sends the given number.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
        for _ in range(parts):
            await asyncio.sleep(pause)
            writer.write(b"0123456789")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


def test_long_response_is_read_while_its_data_arrive(case):
    """A limit on the whole response ends a long one before its last byte.

    Each further attempt would end at the same point.
    """

    async def scenario():
        server, address = await parts_server(10, 0.05)
        with HttpClient() as client:
            answer = await client.call(
                address, "GET /", b"", 0.2, idle_timeout=0.2
            )
            case.assertEqual(answer, ClientResponse(200, b"0123456789" * 10))
            answer = await client.call(address, "GET /", b"", 0.2)
            case.assertEqual(answer, CallFailed(True, "timeout"))
        server.close()

    asyncio.run(scenario())


def test_response_that_stops_arriving_ends_the_call(case):
    """A connection that goes silent within a response must not be kept.

    The call would wait for good, or for as long as it may wait for the
    response to begin.
    """

    async def scenario():
        server, address = await parts_server(3, 0.01)
        progress = ResponseProgress()
        loop = asyncio.get_running_loop()
        with HttpClient() as client:
            started = loop.time()
            answer = await client.call(
                address, "GET /", b"", 5.0, idle_timeout=0.2, progress=progress
            )
            case.assertEqual(answer, CallFailed(True, "timeout"))
            case.assertLess(loop.time() - started, 2.0)
            case.assertGreater(progress.received_bytes, 30)
        server.close()

    asyncio.run(scenario())


def test_refused_connection_was_not_sent(case):
    """A refused connection is reported as not sent.

    Reported as sent, its task would be treated as possibly started.
    """

    async def scenario():
        with HttpClient() as client:
            failed = await client.call("127.0.0.1:1", "GET /", b"", 1.0)
            case.assertFalse(failed.sent)
            case.assertTrue(failed.connection_refused)

    asyncio.run(scenario())


def test_oversized_and_malformed_requests_are_refused(case):
    """Requests over a limit are rejected; unbounded ones exhaust memory."""

    async def scenario():
        limits = ListenerLimits(max_body_bytes=10, max_header_bytes=200)
        async with listening(echo, limits) as (listener, client):
            for head, body, headers, status in (
                ("POST /", b"x" * 11, "", 413),
                ("GET /", b"", "X-Long: " + "y" * 300 + "\r\n", 431),
                ("bad", b"", "", 400),
            ):
                with case.subTest(status=status):
                    answer = await client.call(
                        listener.address, head, body, 1.0, headers
                    )
                    case.assertEqual(answer.status, status)

    asyncio.run(scenario())


def test_handler_is_notified_when_the_client_disconnects(case):
    """`Request.disconnected` completes when the client closes its connection.

    Otherwise a handler goes on working for a client that is gone.
    """

    async def scenario():
        disconnects = []

        async def handler(request):
            disconnects.append(await request.disconnected)
            return Response(200)

        async with listening(handler) as (listener, client):
            await client.call(listener.address, "GET /", b"", 0.1)
            await asyncio.sleep(0.1)
        case.assertEqual(len(disconnects), 1)

    asyncio.run(scenario())


def test_closing_listener_ends_connections_after_the_answer(case):
    """A closing listener answers a request before it closes the connection.

    A stop must not interrupt requests in progress.
    """

    async def scenario():
        async with listening(echo) as (listener, client):
            await client.call(listener.address, "POST /", b"a", 1.0)
            listener.is_closing = True
            answer = await client.call(listener.address, "POST /", b"b", 1.0)
            case.assertEqual(answer, ClientResponse(200, b"b"))
            case.assertEqual(client.idle_connection_count(listener.address), 0)

    asyncio.run(scenario())


def test_reset_is_told_from_a_close(case):
    """A caller that closed its connection must not count as one that broke.

    The job of the former is stopped at once, while the latter is expected to
    send its request again. Runs on the event loop of the entries.
    """

    async def disconnect(by_reset):
        disconnected = asyncio.get_running_loop().create_future()

        async def handler(request):
            disconnected.set_result(await request.disconnected)
            return Response(200)

        async with listening(handler) as (listener, _):
            host, _, port = listener.address.rpartition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(0.05)
                if by_reset:
                    linger = struct.pack("ii", 1, 0)
                    caller.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
            return await asyncio.wait_for(disconnected, 1.0)

    for by_reset in (True, False):
        with case.subTest(by_reset=by_reset):
            case.assertEqual(uvloop.run(disconnect(by_reset)), by_reset)


def test_lost_client_is_not_noticed(case):
    """Guards against jobs that go on for a caller behind a partition.

    The bytes that close its connection are lost, so that only probes of the
    kernel, and data that is not acknowledged, show that it is gone.
    """

    async def scenario():
        async with listening(echo) as (listener, client):
            await client.call(listener.address, "POST /x", b"", 1.0)
            (connection,) = listener.connections
            sock = connection.transport.get_extra_info("socket")
            for level, option, value in (
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
                (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            ):
                case.assertEqual(sock.getsockopt(level, option), value)

    asyncio.run(scenario())
    uvloop.run(scenario())


def test_request_counts_from_when_reading_was_paused(case):
    """Guards against a deadline that begins when a full queue is read again.

    The bytes of the third request wait in the socket while the second one is in
    the queue. A handler that counts from the reading runs its job after the
    client's deadline.
    """
    arrivals = []

    async def slow(request):
        arrivals.append(request.arrived_at)
        await asyncio.sleep(0.3)
        return await echo(request)

    async def scenario():
        limits = ListenerLimits(max_pipelined_requests=1)
        async with listening(slow, limits) as (listener, _):
            host, _, port = listener.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for _ in range(3):
                writer.write(b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(0.05)
            sent_at = time.monotonic()
            while len(arrivals) < 3:
                await asyncio.sleep(0.01)
            case.assertLess(max(arrivals), sent_at)
            await asyncio.sleep(0.4)
            # Read in time, since no request waits any more.
            sent_at = time.monotonic()
            writer.write(b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            while len(arrivals) < 4:
                await asyncio.sleep(0.01)
            case.assertGreaterEqual(arrivals[-1], sent_at)
            writer.close()

    for run in (asyncio.run, uvloop.run):
        arrivals.clear()
        run(scenario())
