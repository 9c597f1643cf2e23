"""Target double that runs tasks by sleeping."""

import asyncio
import contextlib
import time
from typing import Any

import attrs

from standins._http import Connection
from standins._http import HttpServer
from standins._http import json_response
from standins._http import Request
from standins._http import Response
from standins._http import update_faults


@attrs.frozen
class TargetFaults:
    """Faults of a target that tests can switch on.

    Attributes:
        fail_all: Every task fails at once.
        leaving: Every start is refused as `not_run` with the reason "leaving".
        drop_after_start: Tasks run, but the connection is then closed without
            an answer.
        slow_factor: Factor by which run times are multiplied.
        truncate: Only half of each answer's body is sent.
        wrong_attempt: Answers carry an attempt id that was not sent.
    """

    fail_all: bool = False
    leaving: bool = False
    drop_after_start: bool = False
    slow_factor: float = 1.0
    truncate: bool = False
    wrong_attempt: bool = False


@attrs.define
class Start:
    """A start of a task, as GET /log returns it.

    Attributes:
        attempt: Attempt id.
        operation: Operation named in the request.
        echo: Field `echo` of the payload.
        traceparent: Trace context of the request; "" if it has none.
        lease_ms: Lease named in the request, in milliseconds.
        start: Monotonic time of the start in seconds, which is comparable
            between the processes of one machine.
        end: Monotonic time of the end, or None while the task runs.
        outcome: "succeeded", "failed", "cancelled", "lease expired", or None
            while the task runs.
    """

    attempt: str
    operation: str
    echo: Any
    traceparent: str
    lease_ms: int
    start: float
    end: float | None = None
    outcome: str | None = None


class TargetStandin:
    """Serves the HTTP protocol of a target; a context manager.

    The field `run_ms` of a task's payload is its run time in milliseconds.

    Attributes:
        address: "IP:port"; port 0 is replaced by the bound port on entry.
        slots: Number of tasks that may run at the same time; further starts
            are refused.
        connections: Number of connections that may carry tasks at the same
            time; a further one is closed at its first start request.
        speed: Factor by which run times are divided.
        target_id: VM id that results name; the address by default.
        faults: Faults that are switched on.
        log: All starts, in order.
    """

    def __init__(
        self,
        address: str,
        slots: int = 8,
        connections: int = 64,
        speed: float = 1.0,
        target_id: str = "",
    ):
        self.address = address
        self.slots = slots
        self.connections = connections
        self.speed = speed
        self.target_id = target_id
        self.faults = TargetFaults()
        self.log: list[Start] = []
        self._running: dict[str, asyncio.Future] = {}
        self._slots_in_use = 0
        self._max_slots = 0
        self._open: set[Connection] = set()
        self._max_open = 0
        self._refused_connections = 0
        self._refused_starts = 0

    def __enter__(self) -> "TargetStandin":
        self._stack = contextlib.ExitStack()
        server = HttpServer(self.address, self._handle, self._forget_connection)
        self._stack.enter_context(server)
        self.address = server.address
        self.target_id = self.target_id or self.address
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def set_faults(self, **changes: Any) -> None:
        """Changes the named faults; the others stay as they are.

        Raises:
            ValueError: A name is not a field of `TargetFaults`.
        """
        self.faults = update_faults(self.faults, changes)

    def stats(self) -> dict[str, Any]:
        """Returns counters of slots, connections and starts."""
        return {
            "slots_in_use": self._slots_in_use,
            "max_slots_in_use": self._max_slots,
            "open_connections": sum(not c.is_closed for c in list(self._open)),
            "max_open_connections": self._max_open,
            "refused_connections": self._refused_connections,
            "refused_starts": self._refused_starts,
            "starts": len(self.log),
        }

    async def _handle(self, request: Request) -> Response | None:
        match (request.method, *request.path):
            case ("POST", "v1", "tasks"):
                return await self._handle_start(request)
            case ("DELETE", "v1", "tasks", attempt):
                return self._cancel(attempt)
            case ("PUT", "faults"):
                self.set_faults(**request.json())
                return json_response(200, attrs.asdict(self.faults))
            case ("GET", "faults"):
                return json_response(200, attrs.asdict(self.faults))
            case ("GET", "log"):
                return json_response(200, [attrs.asdict(s) for s in self.log])
            case ("GET", "stats"):
                return json_response(200, self.stats())
        return json_response(404, {"type": "not_found"})

    async def _handle_start(self, request: Request) -> Response | None:
        if not self._admit_connection(request.connection):
            return None
        attempt = request.headers["anvilford-attempt"]
        document = request.json()
        lease_ms = int(request.headers["anvilford-lease-ms"])
        payload = document.get("payload") or {}
        start = Start(
            attempt,
            document["operation"],
            payload.get("echo"),
            request.headers.get("traceparent", ""),
            lease_ms,
            time.monotonic(),
        )
        faults = self.faults
        refusal = self._refusal_reason(lease_ms)
        if refusal is not None:
            self._refused_starts += 1
            return self._respond(
                503, attempt, {"type": "not_run", "reason": refusal}
            )
        start.outcome = await self._run(start, payload, faults)
        start.end = time.monotonic()
        if faults.drop_after_start:
            return None
        if start.outcome == "succeeded":
            result = {"echo": start.echo, "target": self.target_id}
            return self._respond(200, attempt, {"result": result})
        return self._respond(
            500, attempt, {"type": "task_failed", "message": start.outcome}
        )

    def _admit_connection(self, connection: Connection) -> bool:
        if connection not in self._open:
            self._open = {c for c in self._open if not c.is_closed}
            if len(self._open) >= self.connections:
                self._refused_connections += 1
                return False
            self._open.add(connection)
            self._max_open = max(self._max_open, len(self._open))
        return True

    def _forget_connection(self, connection: Connection) -> None:
        self._open.discard(connection)

    def _refusal_reason(self, lease_ms: int) -> str | None:
        if self.faults.leaving:
            return "leaving"
        if lease_ms <= 0:
            return "lease"
        if self._slots_in_use >= self.slots:
            return "busy"
        return None

    async def _run(
        self, start: Start, payload: dict[str, Any], faults: TargetFaults
    ) -> str:
        self.log.append(start)
        self._slots_in_use += 1
        self._max_slots = max(self._max_slots, self._slots_in_use)
        cancelled = asyncio.get_running_loop().create_future()
        self._running[start.attempt] = cancelled
        run_ms = payload.get("run_ms", 0) * faults.slow_factor / self.speed
        if faults.fail_all:
            run_ms = 0
        try:
            limit = min(run_ms, start.lease_ms) / 1000
            if limit > 0:
                await asyncio.wait((cancelled,), timeout=limit)
        finally:
            self._slots_in_use -= 1
            self._running.pop(start.attempt, None)
        if cancelled.done():
            return "cancelled"
        if run_ms > start.lease_ms:
            return "lease expired"
        failed = faults.fail_all or payload.get("fail")
        return "failed" if failed else "succeeded"

    def _cancel(self, attempt: str) -> Response:
        cancelled = self._running.get(attempt)
        if cancelled is None:
            return json_response(404, {"attempt": attempt, "cancelled": False})
        if not cancelled.done():
            cancelled.set_result(None)
        return json_response(200, {"attempt": attempt, "cancelled": True})

    def _respond(
        self, status: int, attempt: str, document: dict[str, Any]
    ) -> Response:
        if self.faults.wrong_attempt:
            attempt = f"{attempt}-other"
        document = {"attempt": attempt, **document}
        return json_response(status, document, self.faults.truncate)
