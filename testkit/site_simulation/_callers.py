"""Callers of the simulated site, which send jobs again without an answer."""

import asyncio
import enum
import json
import math
import random

import attrs

from anvilford.http1 import Request
from anvilford.http1 import Response
from testkit.site_simulation._entry import EntryProcess
from testkit.site_simulation._loop import call_inside
from testkit.site_simulation._loop import call_outside
from testkit.site_simulation._loop import run_outside

# `retransmit_ms` of the users' sites.
RESEND_AFTER_S = 1.3
MAX_TRIES = 4
DELAY_S = 0.001
HOST = "jobs.example"
PREFIX = "/jobs/"
TASK_CPU = 1000
RUN_TIME_SIGMA = 0.5
# A connection breaks within this multiple of the run time of the job's tasks.
BREAK_TIME_RATIO = 1.5


class Break(enum.Enum):
    """How the connection of a caller ends before the answer.

    Attributes:
        FIN: The caller closes it in order.
        RESET: The caller's machine resets it.
        UNCLOSED: The caller leaves at its deadline without closing it.
        SILENT: The caller leaves before its deadline without closing it.
    """

    FIN = "fin"
    RESET = "reset"
    UNCLOSED = "unclosed"
    SILENT = "silent"


@attrs.frozen
class Call:
    """A request of a caller.

    Attributes:
        job_id: Job id.
        entry: Name of the entry.
        sent_at: Time of the request, in seconds.
        ended_at: Time of the end.
        how: What ended it: "answer", "closed" (by the entry), "deadline" or
            the value of a `Break`.
        status: Status of the answer; 0 for none.
    """

    job_id: str
    entry: str
    sent_at: float
    ended_at: float
    how: str
    status: int


@attrs.define
class Traffic:
    """How many jobs callers submit, and how.

    Attributes:
        per_s: Mean jobs per second.
        mean_s: Mean run time of a task.
        max_tasks: Largest number of tasks of a job.
        long_share: Share of the jobs whose tasks and deadlines are long.
        long_ratio: How many times as long they are.
        broken_share: Share of the requests whose connections break.
        breaks: Ways in which they do.
        deadline_s: Time for which callers wait.
    """

    per_s: float
    mean_s: float
    max_tasks: int
    long_share: float
    long_ratio: float
    broken_share: float
    breaks: tuple[Break, ...]
    deadline_s: float = 1.5

    @property
    def mean_work_s(self) -> float:
        """Mean run time of all tasks of a job, in seconds."""
        ratio = 1.0 + self.long_share * (self.long_ratio - 1.0)
        mean_s = self.mean_s * math.exp(RUN_TIME_SIGMA**2 / 2)
        return mean_s * ratio * (1 + self.max_tasks) / 2


class Callers:
    """Submits jobs.

    Attributes:
        rng: Determines jobs, entries and breaks.
        traffic: How many jobs there are; changes in bursts.
        entries: Present process of each entry by address.
        calls: All calls, in the order of their ends.
    """

    def __init__(
        self,
        rng: random.Random,
        traffic: Traffic,
        entries: dict[str, EntryProcess],
    ):
        self.rng = rng
        self.traffic = traffic
        self.entries = entries
        self.calls: list[Call] = []
        self._job_count = 0

    async def run(self, until: float) -> None:
        """Submits jobs up to a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(self.traffic.per_s))
            self._job_count += 1
            run_outside(self._submit(f"{self._job_count:016x}"))

    async def _submit(self, job_id: str) -> None:
        traffic, rng = self.traffic, self.rng
        is_long = rng.random() < traffic.long_share
        ratio = traffic.long_ratio if is_long else 1.0
        seconds = (
            traffic.mean_s
            * ratio
            * min(rng.lognormvariate(0.0, RUN_TIME_SIGMA), 4.0)
        )
        deadline_s = traffic.deadline_s * ratio
        body = _job_body(
            rng.randint(1, traffic.max_tasks), seconds, traffic.mean_s * ratio
        )
        for attempt in range(MAX_TRIES):
            if attempt:
                await asyncio.sleep(RESEND_AFTER_S)
            entry = rng.choice(list(self.entries.values()))
            call = await self._call(entry, job_id, body, seconds, deadline_s)
            self.calls.append(call)
            if call.status not in (0, 502, 504):
                return

    async def _call(
        self,
        entry: EntryProcess,
        job_id: str,
        body: bytes,
        seconds: float,
        deadline_s: float,
    ) -> Call:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        how, wait_s = "deadline", deadline_s
        if self.rng.random() < self.traffic.broken_share:
            planned = self.rng.choice(self.traffic.breaks)
            how = planned.value
            if planned is not Break.UNCLOSED:
                longest = min(seconds * BREAK_TIME_RATIO, deadline_s)
                wait_s = self.rng.uniform(0.0, longest)
        connection = _CallerConnection(entry)
        request = Request(
            "POST",
            PREFIX + job_id,
            {
                "host": HOST,
                "x-anvilford-deadline-ms": str(int(deadline_s * 1000)),
            },
            body,
            loop.create_future(),
            arrived_at=0.0,
        )
        connection.send(request)
        status = 0
        try:
            async with asyncio.timeout(wait_s):
                status = await connection.ended
            how = "answer" if status else "closed"
        except TimeoutError:
            connection.leave(how)
        return Call(job_id, entry.name, sent_at, loop.time(), how, status)


class _CallerConnection:
    """A connection of a caller with one request.

    Attributes:
        entry: Process that accepted it.
        ended: Status of the answer; 0 if the entry closed the connection.
    """

    def __init__(self, entry: EntryProcess):
        self.entry = entry
        self.ended = asyncio.get_running_loop().create_future()
        self._request: Request | None = None

    def send(self, request: Request) -> None:
        """Sends the request."""
        self._request = request
        call_outside(DELAY_S, self._arrive)
        run_outside(self._watch_process())

    def _arrive(self) -> None:
        if self.entry.is_dead or self.entry.handle_request is None:
            self._end(0)
            return
        call_inside(
            self.entry, self.entry.receive_request, self._request, self._answer
        )

    def _answer(self, response: Response) -> None:
        call_outside(DELAY_S, self._end, response.status)

    def _end(self, status: int) -> None:
        if not self.ended.done():
            self.ended.set_result(status)

    async def _watch_process(self) -> None:
        """Ends the connection when the process of the entry is killed."""
        while not self.ended.done():
            if self.entry.is_dead:
                self._end(0)
                return
            await asyncio.sleep(0.05)

    def leave(self, how: str) -> None:
        """Ends the connection as a caller does before the answer."""
        if not self.ended.done():
            self.ended.cancel()
        if how in (Break.UNCLOSED.value, Break.SILENT.value):
            return
        call_outside(
            DELAY_S,
            call_inside,
            self.entry,
            self._lose,
            how == Break.RESET.value,
        )

    def _lose(self, is_reset: bool) -> None:
        if not self._request.disconnected.done():
            self._request.disconnected.set_result(is_reset)


def _job_body(tasks: int, seconds: float, estimate_s: float) -> bytes:
    step = {
        "count": tasks,
        "cpu": TASK_CPU,
        "mem_mb": 64,
        "estimate_ms": int(estimate_s * 1000),
    }
    return json.dumps(
        {
            "spec": json.dumps({"seconds": seconds, "cpu": TASK_CPU}),
            "steps": [step],
            "best_effort": True,
        }
    ).encode()
