"""Tests of the connections of `HttpServer` over loopback sockets."""

import contextlib
import socket
import threading

from anvilford.http import HttpServer
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"


def echo(environ, start_response):
    """WSGI application that returns the body of the request."""
    body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextlib.contextmanager
def serve(idle_s):
    """Runs a server with one thread that closes idle connections."""
    running = HttpServer(("127.0.0.1", 0), echo, numthreads=1, timeout=idle_s)
    running.prepare()
    thread = threading.Thread(target=running.serve)
    thread.start()
    try:
        yield running
    finally:
        running.stop()
        thread.join()


@fixture
def server():
    """A server that closes idle connections after 1 s."""
    with serve(1) as running:
        yield running


@fixture
def patient_server():
    """A server that keeps idle connections beyond the client's timeout."""
    with serve(60) as running:
        yield running


def connect(server):
    """Opens a connection to the server."""
    return socket.create_connection(server.bind_addr, timeout=10)


def read_answers(sock, count):
    """Reads until `count` responses to `REQUEST` or the end have arrived."""
    data = b""
    while data.count(b"\r\n\r\nok") < count:
        received = sock.recv(4096)
        if not received:
            break
        data += received
    return data


def test_idle_connection_is_closed_without_an_answer(case, server):
    """An idle connection is closed without any bytes.

    With a 408 response, a client that sends a request at that moment reads it
    as the response to that request.
    """
    with connect(server) as sock:
        case.assertEqual(sock.recv(4096), b"")


def test_idle_connections_occupy_no_thread(case, patient_server):
    """A request is served while another connection is open and idle.

    If an idle connection occupied the server's only thread, the request would
    wait for its timeout.
    """
    idle = connect(patient_server)
    with idle, connect(patient_server) as sock:
        sock.sendall(REQUEST)
        case.assertTrue(read_answers(sock, 1).startswith(b"HTTP/1.1 200"))


def test_requests_that_arrive_together_or_in_parts(case, server):
    """Requests in one segment and a request in three segments are answered.

    Bytes read beyond one request must not be lost, and the server must not
    wait for more bytes before it handles them.
    """
    with connect(server) as sock:
        sock.sendall(REQUEST + REQUEST)
        case.assertEqual(read_answers(sock, 2).count(b" 200 OK"), 2)
        for part in (REQUEST[:20], REQUEST[20:-1], REQUEST[-1:]):
            sock.sendall(part)
        case.assertEqual(read_answers(sock, 1).count(b" 200 OK"), 1)
