"""Callers whose connections break and who send jobs again."""

import asyncio
import enum
import json
import random
import socket
import struct
import time
from collections.abc import Callable

import attrs

from standins.site import HOST
from standins.site import LoopbackSite
from testkit.cuts._report import CallRecord
from testkit.cuts._report import CutReport
from testkit.cuts._sites import JobKind

# `retransmit_ms` of the users' sites.
RESEND_AFTER_S = 1.3
TASK_CPU = 6800
# Longest time to open a connection, as that of the product's client.
CONNECT_TIMEOUT_S = 0.5
# How much longer than its mean a task may take.
RUN_TIME_SIGMA = 0.5
MAX_RUN_TIME_RATIO = 4.0
# A connection breaks within this multiple of the run time of the job's tasks,
# so that most of the jobs run at that moment.
BREAK_TIME_RATIO = 1.2
READ_BYTES = 65536


class Break(enum.Enum):
    """How the connection of a caller ends before the answer.

    Attributes:
        FIN: The caller closes it in order.
        RESET: The caller's machine resets it.
        SILENT: The caller stops using it, and it stays open until the end of
            the play, as if it had been lost on the way.
        UNCLOSED: The same at the caller's deadline, which the entry knows,
            while it cannot know of an earlier silent break.
    """

    FIN = "fin"
    RESET = "reset"
    SILENT = "silent"
    UNCLOSED = "unclosed"


# Ways in which connections break unless others are chosen.
DEFAULT_BREAKS = (Break.FIN, Break.RESET, Break.SILENT)


@attrs.frozen
class PlannedBreak:
    """A break of one connection, unless the answer comes before.

    Attributes:
        how: How it breaks.
        after_s: Time after the request was sent, in seconds.
    """

    how: Break
    after_s: float


@attrs.frozen
class CallResult:
    """How a request ended.

    Attributes:
        status: Status of the answer; 0 for none.
        how: What ended it: "answer", "refused" (no connection), "closed" (by
            the entry), "deadline" or the value of a `Break`.
    """

    status: int
    how: str


@attrs.define
class CallerConnections:
    """Sends requests over connections of their own; a context manager.

    Leaving the context closes the connections of silent callers.

    Attributes:
        silent: Open connections of callers that stopped using them.
    """

    silent: list[socket.socket] = attrs.field(factory=list)

    def __enter__(self) -> "CallerConnections":
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self.silent:
            sock.close()

    async def call(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        planned: PlannedBreak | None = None,
    ) -> CallResult:
        """Sends a request and waits for the answer.

        Args:
            address: "IP:port" of the entry.
            request: The whole request.
            timeout_s: Time after which the caller closes the connection.
            planned: How the connection breaks before, if it does.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, request)
        except OSError:  # Includes TimeoutError.
            sock.close()
            return CallResult(0, "refused")
        wait_s = min(timeout_s, planned.after_s) if planned else timeout_s
        try:
            async with asyncio.timeout(wait_s):
                status = await _read_status(loop, sock)
        except TimeoutError:
            is_planned = planned and planned.after_s <= timeout_s
            return self._end(sock, planned if is_planned else None)
        except BaseException:
            sock.close()
            raise
        sock.close()
        return CallResult(status, "answer" if status else "closed")

    def _end(
        self, sock: socket.socket, planned: PlannedBreak | None
    ) -> CallResult:
        """Breaks a connection as planned, or closes it at the deadline."""
        if planned is None:
            sock.close()
            return CallResult(0, "deadline")
        match planned.how:
            case Break.FIN:
                sock.close()
            case Break.RESET:
                # Without lingering, a close sends a reset.
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.close()
            case Break.SILENT | Break.UNCLOSED:
                self.silent.append(sock)
        return CallResult(0, planned.how.value)


async def _read_status(
    loop: asyncio.AbstractEventLoop, sock: socket.socket
) -> int:
    """Reads the answer up to its end; 0 if the connection ends before."""
    data = b""
    while True:
        head, separator, body = data.partition(b"\r\n\r\n")
        if separator and len(body) >= _content_length(head):
            return int(head.split(b" ", 2)[1])
        try:
            chunk = await loop.sock_recv(sock, READ_BYTES)
        except TimeoutError:
            raise
        except OSError:
            return 0
        if not chunk:
            return 0
        data += chunk


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


@attrs.define
class CallerOptions:
    """How callers behave.

    Attributes:
        deadline_s: Time for which they wait for an answer, in seconds.
        tries: Largest number of entries that get the same job.
        long_share: Share of the jobs that are long.
        long_ratio: How many times as long their tasks take, and callers wait.
        broken_share: Share of the requests whose connections break.
        breaks: Ways in which they do, each as likely as the others.
    """

    deadline_s: float
    tries: int = 2
    long_share: float = 0.0
    long_ratio: float = 1.0
    broken_share: float = 0.0
    breaks: tuple[Break, ...] = DEFAULT_BREAKS


class Callers:
    """Submits jobs, and sends them again if there is no answer.

    Attributes:
        site: The site.
        rng: Determines jobs, entries and breaks.
        options: How callers behave.
        connections: Sends the requests.
        report: Receives each call.
    """

    def __init__(
        self,
        site: LoopbackSite,
        rng: random.Random,
        options: CallerOptions,
        connections: CallerConnections,
        report: CutReport,
    ):
        self.site = site
        self.rng = rng
        self.options = options
        self.connections = connections
        self.report = report

    async def submit_jobs(
        self, kind: JobKind, rate: Callable[[JobKind], float | None]
    ) -> None:
        """Submits jobs of one kind, and waits for the last answer.

        Args:
            kind: The kind.
            rate: Returns the mean arrivals per second of the kind at this
                moment, or None once traffic ends.
        """
        async with asyncio.TaskGroup() as calls:
            while (per_s := rate(kind)) is not None:
                calls.create_task(self._submit(kind))
                await asyncio.sleep(self.rng.expovariate(per_s))

    async def _submit(self, kind: JobKind) -> None:
        """Submits a job, and again to other entries if there is no answer."""
        job_id = self.site.new_job_id()
        ratio = self.rng.lognormvariate(0.0, RUN_TIME_SIGMA)
        seconds = kind.seconds * min(ratio, MAX_RUN_TIME_RATIO)
        deadline_s = self.options.deadline_s
        if self.rng.random() < self.options.long_share:
            kind = attrs.evolve(
                kind, seconds=kind.seconds * self.options.long_ratio
            )
            seconds *= self.options.long_ratio
            deadline_s *= self.options.long_ratio
        entries = self.rng.sample(
            list(self.site.entries),
            min(self.options.tries, len(self.site.entries)),
        )
        for attempt, entry in enumerate(entries):
            if attempt:
                self.report.resent += 1
                await asyncio.sleep(RESEND_AFTER_S)
            sent_at = time.monotonic()
            result = await self.connections.call(
                self.site.entries[entry].caller_address,
                self._request(job_id, kind, seconds, deadline_s),
                deadline_s,
                self._plan_break(seconds, deadline_s),
            )
            self.report.add_call(
                CallRecord(
                    job_id,
                    entry,
                    sent_at,
                    time.monotonic(),
                    result.how,
                    result.status,
                )
            )
            if result.status not in (0, 502, 504):
                return

    def _plan_break(
        self, seconds: float, deadline_s: float
    ) -> PlannedBreak | None:
        if self.rng.random() >= self.options.broken_share:
            return None
        how = self.rng.choice(self.options.breaks)
        if how is Break.UNCLOSED:
            return PlannedBreak(how, deadline_s)
        longest = min(seconds * BREAK_TIME_RATIO, deadline_s)
        return PlannedBreak(how, self.rng.uniform(0.0, longest))

    def _request(
        self, job_id: str, kind: JobKind, seconds: float, deadline_s: float
    ) -> bytes:
        document = {
            "spec": json.dumps({"seconds": seconds, "cpu": TASK_CPU}),
            "steps": [
                {
                    "count": kind.tasks,
                    "cpu": TASK_CPU,
                    "mem_mb": 64,
                    "estimate_ms": int(kind.seconds * 1000),
                }
            ],
            "best_effort": True,
        }
        body = json.dumps(document)
        return (
            f"POST /jobs/{job_id} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            "Content-Type: application/json\r\n"
            "X-Anvilford-Deadline-Ms:"
            f" {int(deadline_s * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
