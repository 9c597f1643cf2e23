"""Tests of an entry process with clients that keep to no limits.

Each test opens a crowd of such clients and leaves their connections open. It
checks that the process lives, how much memory and how many descriptors it uses
at most, and that an ordinary caller is answered afterwards. The settings of the
entry are lower than on a machine, so that a small crowd reaches them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import socket

from standins.site import HOST
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

ENTRY = "entry-0"
# Half of the memory of the smallest machine, as VmHWM of the process. An entry
# that serves nothing uses some 33 MB.
MAX_RSS_KB = 80_000
# Descriptors besides those of callers' connections: files, listeners and the
# connections to store and targets.
OTHER_DESCRIPTORS = 60
MAX_CONNECTIONS = 100
SETTINGS = {
    "memory_mb": 160,
    "max_descriptors": 1638,
    "request_memory_bytes": 8_000_000,
    "max_caller_connections": MAX_CONNECTIONS,
    "max_incomplete_connections": 80,
    "request_timeout_s": 3.0,
    "unread_answer_timeout_s": 3.0,
}
# Longest wait, in seconds, for a crowd to have sent what the entry reads, and
# for connections to be closed.
CROWD_TIMEOUT_S = 15.0
# The data of a crowd is taken as read once nothing more was sent for this long.
QUIET_S = 2.0
# Segment size of an ordinary network. With the one of the loopback interface, the
# kernel alone would buffer 2.5 MB of answers for a client that does not read.
SEGMENT_BYTES = 1400
POST = f"POST /jobs/{{:016x}} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def run(coroutine):
    """Runs the coroutine of a test on a new event loop."""
    return asyncio.run(coroutine)


def post(number: int) -> bytes:
    """Returns the request line and the Host header of a submission."""
    return POST.replace(b"{:016x}", f"{number:016x}".encode())


def chunks(size: int, count: int) -> bytes:
    """Returns the encoding of `count` chunks of `size` bytes."""
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * count


class Crowd:
    """Clients that send bytes and then leave their connections open.

    An async context manager.

    Attributes:
        address: "IP:port" that they connect to.
        transports: Open transports.
    """

    def __init__(self, address: str):
        self.address = address
        self.transports: list[asyncio.Transport] = []

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *_: object) -> None:
        for transport in self.transports:
            if not transport.is_closing():
                transport.abort()

    async def add(self, data: bytes, reads: bool = True) -> asyncio.Transport:
        """Connects a client and starts to send; returns its transport."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(sock, (host, int(port)))
        transport, _ = await loop.create_connection(asyncio.Protocol, sock=sock)
        if not reads:
            transport.pause_reading()
        transport.write(data)
        self.transports.append(transport)
        return transport

    def unsent_bytes(self) -> int:
        """Returns the bytes that wait to be sent."""
        return sum(
            transport.get_write_buffer_size()
            for transport in self.transports
            if not transport.is_closing()
        )

    async def wait_sent(self) -> None:
        """Waits until all is sent, or until the entry reads nothing more."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CROWD_TIMEOUT_S
        unsent, changed_at = -1, loop.time()
        while unsent and loop.time() < min(end, changed_at + QUIET_S):
            now_unsent = self.unsent_bytes()
            if now_unsent != unsent:
                unsent, changed_at = now_unsent, loop.time()
            await asyncio.sleep(0.05)


class EntryUnderTest:
    """A site of one entry with lowered limits, and checks of its process."""

    def __init__(self, case, site: LoopbackSite):
        self.case = case
        self.site = site
        self.entry = site.entries[ENTRY]
        self.max_descriptors_seen = 0

    @property
    def _folder(self) -> pathlib.Path:
        return pathlib.Path("/proc") / str(self.entry.process.pid)

    def peak_rss_kb(self) -> int:
        """Returns the largest RSS of the process so far, in kB."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise AssertionError("no VmHWM")

    def descriptors(self) -> int:
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(self._folder / "fd"))

    async def watch_descriptors(self) -> None:
        """Records the largest number of descriptors until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                self.max_descriptors_seen = max(
                    self.max_descriptors_seen, self.descriptors()
                )
            await asyncio.sleep(0.02)

    async def wait_descriptors(self, bound: int) -> None:
        """Fails unless the number of descriptors falls to a bound in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CROWD_TIMEOUT_S
        while self.descriptors() > bound and loop.time() < end:
            await asyncio.sleep(0.05)
        self.case.assertLessEqual(self.descriptors(), bound, "descriptors")

    async def submit(self) -> object:
        """Submits a job as an ordinary caller; returns the HTTP status.

        The caller tries again after 429, which is the true answer of a leader
        whose process or targets were held up just before.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + CROWD_TIMEOUT_S
        while True:
            answer = await self.site.submit(ENTRY, self.site.new_job_id())
            status = getattr(answer, "status", answer)
            if status != 429 or loop.time() > end:
                return status
            await asyncio.sleep(0.5)

    async def check(self) -> None:
        """Checks process, memory, descriptors and one ordinary request."""
        status = await self.submit()
        self.case.assertIsNone(self.entry.process.poll(), "process ended")
        measured = (
            f"VmHWM {self.peak_rss_kb()} kB,"
            f" {self.max_descriptors_seen} descriptors, answer {status}"
        )
        print(f"[{measured}]", flush=True)
        self.case.assertEqual(status, 200, measured)
        self.case.assertLessEqual(self.peak_rss_kb(), MAX_RSS_KB, measured)
        self.case.assertLessEqual(
            self.max_descriptors_seen,
            MAX_CONNECTIONS + OTHER_DESCRIPTORS,
            measured,
        )


@contextlib.asynccontextmanager
async def entry_under_test(case):
    """Starts a site of one entry with lowered limits."""
    site = LoopbackSite(entries=1, targets=2)

    def lower_limits() -> None:
        path = site.entries[ENTRY].settings_path
        settings = json.loads(path.read_text())
        path.write_text(json.dumps(settings | SETTINGS))

    site.before_start = lower_limits
    async with site:
        tested = EntryUnderTest(case, site)
        watch = asyncio.ensure_future(tested.watch_descriptors())
        try:
            yield tested
        finally:
            watch.cancel()


def run_crowd(case, clients: int, data: bytes, frees_descriptors: bool = False):
    """Lets a crowd send the same bytes; then checks the entry."""

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.caller_address) as crowd,
        ):
            before = tested.descriptors()
            for _ in range(clients):
                await crowd.add(data)
            await crowd.wait_sent()
            await tested.check()
            if frees_descriptors:
                await tested.wait_descriptors(before + OTHER_DESCRIPTORS // 2)

    run(scenario())


def test_bodies_in_chunks_of_one_byte_that_stop_short(case):
    """Guards against work and memory per piece of a body."""
    run_crowd(case, 40, post(1) + CHUNKED + chunks(1, 200_000))


def test_bodies_in_chunks_of_two_bytes_that_stop_short(case):
    """Guards against an object of 43 bytes for each piece of a body."""
    run_crowd(case, 30, post(1) + CHUNKED + chunks(2, 130_000))


def test_bodies_in_large_chunks_that_stop_short(case):
    """Guards against many bodies that are each within the limit."""
    run_crowd(case, 300, post(1) + CHUNKED + chunks(65_000, 4))


def test_chunk_extensions_that_never_end(case):
    """Guards against connections that stay open without body progress."""
    data = post(1) + CHUNKED + b"1;" + b"e" * 100_000
    run_crowd(case, 60, data, frees_descriptors=True)


def test_trailers_that_never_end(case):
    """Guards against a trailer field that the parser gathers unbounded."""
    data = post(1) + CHUNKED + b"0\r\nX-Trailer: " + b"t" * 4_000_000
    run_crowd(case, 30, data)


def test_many_trailers(case):
    """Guards against an object for each of very many short trailers."""
    trailers = b"".join(b"a%x:\r\n" % n for n in range(16_000))
    run_crowd(case, 60, post(1) + CHUNKED + b"0\r\n" + trailers)


def test_url_that_never_ends(case):
    """Guards against a request target that is gathered without a bound."""
    run_crowd(case, 30, b"POST /jobs/" + b"u" * 4_000_000)


def test_header_that_never_ends(case):
    """Guards against a header field that the parser gathers unbounded."""
    run_crowd(case, 30, post(1) + b"X-Long: " + b"h" * 4_000_000)


def test_headers_one_byte_at_a_time(case):
    """Guards against requests that stay incomplete, as no timer ran."""

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.caller_address) as crowd,
        ):
            before = tested.descriptors()
            for _ in range(70):
                await crowd.add(b"")
            for byte in post(1):
                for transport in crowd.transports:
                    transport.write(bytes([byte]))
                await asyncio.sleep(0.005)
            await tested.check()
            await tested.wait_descriptors(before + OTHER_DESCRIPTORS // 2)

    run(scenario())


def test_connections_that_send_nothing(case):
    """Guards against connections that use up all descriptors."""
    run_crowd(case, 400, b"")


def test_operators_are_answered_while_callers_connections_are_used_up(case):
    """Guards against a load balancer that takes a full entry for a dead one."""

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.caller_address) as crowd,
        ):
            for _ in range(300):
                await crowd.add(post(1))
            case.assertTrue(await tested.site.is_ready(ENTRY))
            answer = await tested.site.http.call(
                tested.entry.metrics_address, "GET /metrics", b"", 5.0
            )
            case.assertEqual(answer.status, 200)
            case.assertIn(b"anvilford_connections_refused_total", answer.body)
            await tested.check()

    run(scenario())


def test_connections_that_send_a_part_of_a_request(case):
    """Guards against incomplete requests that use up all descriptors."""
    run_crowd(case, 400, post(1) + b"Content-Length: 1000\r\n\r\n{")


def test_many_requests_on_one_connection(case):
    """Guards against bodies held while the first job of a connection runs."""
    spec = json.dumps({"seconds": 4, "cpu": 1})
    step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 4000}
    job = {"spec": spec, "steps": [step], "best_effort": True}
    body = json.dumps({**job, "padding": "x" * 200_000}).encode()
    length = f"Content-Length: {len(body)}\r\n".encode()
    deadline = b"X-Anvilford-Deadline-Ms: 8000\r\n\r\n"

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.caller_address) as crowd,
        ):
            for client in range(60):
                requests = [
                    post(1000 + 10 * client + n) + length + deadline + body
                    for n in range(9)
                ]
                await crowd.add(b"".join(requests))
            await crowd.wait_sent()
            await tested.check()

    run(scenario())


def test_callers_that_never_read(case):
    """Guards against answers that a caller leaves unread."""

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.caller_address) as crowd,
        ):
            for _ in range(20):
                await crowd.add(b"GET / HTTP/1.1\r\n\r\n" * 4_000, False)
            await crowd.wait_sent()
            await tested.check()

    run(scenario())


def test_metrics_that_are_never_read(case):
    """Guards against answers of the metrics listener that are left unread."""

    async def scenario():
        async with (
            entry_under_test(case) as tested,
            Crowd(tested.entry.metrics_address) as crowd,
        ):
            for _ in range(10):
                data = b"GET /metrics HTTP/1.1\r\n\r\n" * 3_000
                await crowd.add(data, False)
            await crowd.wait_sent()
            await tested.check()

    run(scenario())


def test_one_legal_body_in_chunks_of_one_byte(case):
    """Guards against limits that refuse a request within the limits.

    Its body has `max_body_bytes`; the chunks take 1.6 MB on the wire. The
    estimate is long, so that the job has seconds until it counts as late.
    """
    step = {"count": 1, "cpu": 6800, "mem_mb": 64, "estimate_ms": 3000}
    spec = json.dumps({"seconds": 0.1, "cpu": 6800})
    job = {"spec": spec, "steps": [step], "best_effort": True, "padding": ""}
    job["padding"] = "x" * (262_144 - len(json.dumps(job)))
    body = b"".join(b"1\r\n%c\r\n" % b for b in json.dumps(job).encode())

    async def scenario():
        async with entry_under_test(case) as tested:
            host, _, port = tested.entry.caller_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            deadline = b"X-Anvilford-Deadline-Ms: 20000\r\n"
            writer.write(post(1) + deadline + CHUNKED + body + b"0\r\n\r\n")
            async with asyncio.timeout(CROWD_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n")
            case.assertEqual(head, b"HTTP/1.1 200 OK\r\n")
            writer.close()
            await tested.check()

    run(scenario())
