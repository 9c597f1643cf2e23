"""Test double of a target that receives orders over HTTP."""

import asyncio
import json
import random
import time

from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.order_model import FakeTarget
from anvilford.placement import Accepted
from anvilford.placement import LifeReplaced
from anvilford.placement import Poll
from anvilford.placement import Refusal
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord
from standins.rows import RowStore

_REASON_CODES = {
    Refusal.FENCE: "fence",
    Refusal.OLD_RUN: "old",
    Refusal.LATE: "late",
    Refusal.NO_ROOM: "room",
}
# Interval at which an open poll checks whether a run has ended.
POLL_CHECK_INTERVAL_S = 0.005
CRASH_TIME_S = 1.5
# An answer is withheld for this long, which is beyond the timeouts of entries.
WITHHELD_S = 30.0
# Range of the times after which a late order is carried out.
LATE_S = (2.0, 12.0)


class FakeTargetServer:
    """Serves a `FakeTarget` over HTTP; an async context manager.

    The spec of a task names its run time in seconds and its CPU demand in
    thousandths of a core: {"seconds": 0.05, "cpu": 6800}. With "deadly": true it
    crashes the target, which is silent for `CRASH_TIME_S` and then registers
    as a new incarnation.

    Attributes:
        name: VM id of the target.
        zone: Availability zone.
        service: Service that the target runs.
        cpu: CPU capacity in thousandths of a core.
        incarnation: Start time of the present process, Unix milliseconds.
        target: Simulated target that runs the tasks and records them; set on
            entry.
        address: "IP:port"; set on entry.
        drop_every: If n > 0, every n-th answer is withheld.
        late_share: Share of the orders that get no answer and are carried out
            late.
        rng: Chooses them.
        clock_rate: Rate of the target's clock; above 1 it is fast.
        clock_offset_s: What it is ahead by at the monotonic time 0, in seconds.
        state: State that it reports, "ready" or "draining"; "left" once its row
            is to be gone. Only `testkit.cuts` follows it.
    """

    def __init__(self, name: str, zone: str, service: str, cpu: int = 16000):
        self.zone = zone
        self.service = service
        self.incarnation = int(time.time() * 1000)
        self.cpu = cpu
        self.name = name
        self.drop_every = 0
        self.late_share = 0.0
        self.rng = random.Random(name)
        self.clock_rate = 1.0
        self.clock_offset_s = 0.0
        self.state = "ready"
        self._orders = 0
        self._store: RowStore | None = None
        self._tasks: set[asyncio.Task] = set()
        self._listener = HttpListener(
            "127.0.0.1:0", self._handle, ListenerLimits()
        )

    async def __aenter__(self) -> "FakeTargetServer":
        await self._listener.__aenter__()
        self.address = self._listener.address
        self.target = FakeTarget(
            TargetRecord(
                self.name,
                self.incarnation,
                self.address,
                self.zone,
                self.service,
                False,
                0,
                Resources(self.cpu, 65536),
                ("a", "r1"),
                1,
            )
        )
        self.target.accepts_any_incarnation = True
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await self._listener.__aexit__(*exc_info)

    def now(self) -> float:
        """Returns the time of the target's clock in seconds."""
        return time.monotonic() * self.clock_rate + self.clock_offset_s

    def monotonic_time(self, at: float) -> float:
        """Returns the monotonic time of a time of the target's clock."""
        return (at - self.clock_offset_s) / self.clock_rate

    def restart(self) -> None:
        """Simulates a restart: a new incarnation without the earlier runs."""
        now = self.now()
        self.incarnation += 1 + int(now * 1000) % 1000
        self.target.restart(self.incarnation, now)

    def register(self, store: RowStore, state: str = "ready") -> None:
        """Writes the target's row to the store."""
        self._store = store
        store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", "r1"],
                "born": self.incarnation,
                "seq": 1,
            },
        )

    async def _handle(self, request: Request) -> Response:
        expected = request.headers.get("x-anvilford-expect-instance")
        if expected not in (None, self.name):
            return Response(421)
        body = json.loads(request.body or b"{}")
        incarnation = self.incarnation
        is_late = self.late_share and self.rng.random() < self.late_share
        if is_late:
            await asyncio.sleep(self.rng.uniform(*LATE_S))
        now = self.now()
        if self.target.is_down:
            await asyncio.sleep(WITHHELD_S)
        if self.incarnation != incarnation:
            return Response(421)  # The process that received it is gone.
        match request.target:
            case "/v1/run-start":
                answer = self._start(body, now)
            case "/v1/run-stop":
                order = StopRun(
                    self.name,
                    self.incarnation,
                    body["task"],
                    body["run"],
                    body.get("fencing_token", 0),
                )
                answer = self.target.stop(order, now)
            case "/v1/hold":
                answer = await self._poll(body)
            case _:
                return Response(404)
        self._orders += 1
        is_dropped = self.drop_every and self._orders % self.drop_every == 0
        if is_late or is_dropped or self.target.is_down:
            await asyncio.sleep(WITHHELD_S)
        return self._respond(answer)

    def _start(self, body: dict, now: float):
        spec = json.loads(body["spec"])
        order = StartRun(
            self.name,
            self.incarnation,
            body["task"],
            body["run"],
            body["spec"],
            body["deadline_ms"],
            body.get("fencing_token", 0),
        )
        need = Resources(spec["cpu"], 64)
        answer = self.target.start(order, need, spec["seconds"], now)
        if spec.get("deadly") and isinstance(answer, Accepted):
            self.target.crash(now)
            task = asyncio.ensure_future(self._come_back())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return answer

    async def _come_back(self) -> None:
        await asyncio.sleep(CRASH_TIME_S)
        self.restart()
        if self._store is not None:
            self.register(self._store)

    async def _poll(self, body: dict):
        order = Poll(
            self.name,
            self.incarnation,
            body.get("fencing_token", 0),
            body.get("deadline_ms"),
            body.get("ack_cursor", 0),
            body.get("wait_ms", 0),
            0.0,
        )
        end = time.monotonic() + order.wait_ms / 1000
        answer = self.target.poll(order, self.now())
        while (
            isinstance(answer, Report)
            and not answer.ended
            and not self.target.is_down
            and time.monotonic() < end
        ):
            await asyncio.sleep(POLL_CHECK_INTERVAL_S)
            self.target.advance(self.now())
            if self.target.unacknowledged_ends:
                answer = self.target.poll(order, self.now())
        return answer

    def _respond(self, answer) -> Response:
        clock = self.target.clock_ms(self.now())
        match answer:
            case Accepted():
                body: dict = {"clock_ms": clock}
            case LifeReplaced():
                return Response(421)
            case Refused(reason):
                body = {"clock_ms": clock, "reason": _REASON_CODES[reason]}
                return Response(409, json.dumps(body).encode())
            case Report() as report:
                body = {
                    "clock_ms": clock,
                    "born": self.incarnation,
                    "running": [
                        [r.task, r.run, "", r.percent] for r in report.running
                    ],
                    "ended": [
                        [e.sequence, e.task, e.run, e.end.value, ""]
                        for e in report.ended
                    ],
                }
        return Response(200, json.dumps(body).encode())
