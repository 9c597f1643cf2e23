"""Tests of the HTTP server's connections over real sockets."""

import contextlib
import socket
import threading

from anvilford.http import HttpServer
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"


def echo(environ, start_response):
    """Answers with the body of the request."""
    body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextlib.contextmanager
def serve(idle_s):
    """Runs a server with a single thread."""
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
    """A server that closes idle connections soon."""
    with serve(1) as running:
        yield running


@fixture
def patient_server():
    """A server that keeps idle connections for longer than callers wait."""
    with serve(60) as running:
        yield running


def connect(server):
    """Opens a connection."""
    return socket.create_connection(server.bind_addr, timeout=10)


def read_answers(sock, count):
    """Reads until so many answers to `REQUEST` arrived."""
    data = b""
    while data.count(b"\r\n\r\nok") < count:
        received = sock.recv(4096)
        if not received:
            break
        data += received
    return data


def test_idle_connection_is_closed_without_an_answer(case, server):
    """Guards against a 408 that is read as the answer to the next request."""
    with connect(server) as sock:
        case.assertEqual(sock.recv(4096), b"")


def test_idle_connections_occupy_no_thread(case, patient_server):
    """Guards against callers that wait for others' idle connections."""
    idle = connect(patient_server)
    with idle, connect(patient_server) as sock:
        sock.sendall(REQUEST)
        case.assertTrue(read_answers(sock, 1).startswith(b"HTTP/1.1 200"))


def test_requests_that_arrive_together_or_in_parts(case, server):
    """Guards against bytes that are lost or waited for between requests."""
    with connect(server) as sock:
        sock.sendall(REQUEST + REQUEST)
        case.assertEqual(read_answers(sock, 2).count(b" 200 OK"), 2)
        for part in (REQUEST[:20], REQUEST[20:-1], REQUEST[-1:]):
            sock.sendall(part)
        case.assertEqual(read_answers(sock, 1).count(b" 200 OK"), 1)
