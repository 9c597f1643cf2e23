"""Sends orders to targets ("runners" on the platform's pages)."""

import json
from typing import Any

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.placement import Accepted
from anvilford.placement import EndedTask
from anvilford.placement import LifeReplaced
from anvilford.placement import NoAnswer
from anvilford.placement import NotSent
from anvilford.placement import OrderAnswer
from anvilford.placement import Poll
from anvilford.placement import PollAnswer
from anvilford.placement import Refusal
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import RunEnd
from anvilford.placement import RunningTask
from anvilford.placement import StartRun
from anvilford.placement import StopRun

_REFUSALS = {
    "fence": Refusal.FENCE,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


class TargetCalls:
    """Calls targets. No call is repeated here.

    Attributes:
        http: Connections.
    """

    def __init__(self, http: HttpClient):
        self.http = http

    async def start(
        self, address: str, order: StartRun, timeout: float
    ) -> OrderAnswer:
        """Orders a start."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": order.deadline_ms,
            "fencing_token": order.fence,
        }
        answer = await self._call(
            address, "POST /v1/run-start", order.target_id, body, timeout
        )
        return _order_answer(answer)

    async def stop(
        self, address: str, order: StopRun, timeout: float
    ) -> OrderAnswer:
        """Orders a stop."""
        body = {
            "task": order.task,
            "run": order.run,
            "fencing_token": order.fence,
        }
        answer = await self._call(
            address, "POST /v1/run-stop", order.target_id, body, timeout
        )
        return _order_answer(answer)

    async def poll(
        self, address: str, order: Poll, timeout: float
    ) -> PollAnswer:
        """Extends the lease and asks for news ("hold" on the wire)."""
        body: dict[str, Any] = {
            "fencing_token": order.fence,
            "ack_cursor": order.acknowledged,
        }
        if order.deadline_ms is not None:
            body["deadline_ms"] = order.deadline_ms
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        answer = await self._call(
            address, "POST /v1/hold", order.target_id, body, timeout
        )
        match answer:
            case ClientResponse(200, data):
                return _report(data)
            case _:
                return _order_answer(answer)

    async def _call(
        self,
        address: str,
        head: str,
        target_id: str,
        body: dict[str, Any],
        timeout: float,
    ) -> ClientResponse | CallFailed:
        return await self.http.call(
            address,
            head,
            json.dumps(body).encode(),
            timeout,
            f"X-Anvilford-Expect-Instance: {target_id}\r\n",
        )


def _order_answer(answer: ClientResponse | CallFailed) -> Any:
    match answer:
        case CallFailed(False):
            return NotSent()
        case CallFailed():
            return NoAnswer()
        case ClientResponse(421):
            return LifeReplaced()
        case ClientResponse(429) | ClientResponse(503):
            return Refused(Refusal.UNHEALTHY)
        case ClientResponse(status, data):
            return _decoded(status, data)


def _decoded(status: int, data: bytes) -> Any:
    try:
        body = json.loads(data) if data else {}
        clock_ms = body.get("clock_ms")
    except (ValueError, AttributeError):
        return NoAnswer()
    if status == 200 and isinstance(clock_ms, int):
        return Accepted(clock_ms)
    if status == 409:
        reason = _REFUSALS.get(body.get("reason"), Refusal.INVALID)
        return Refused(reason, clock_ms)
    if status == 400:
        return Refused(Refusal.INVALID, clock_ms)
    return NoAnswer()


def _report(data: bytes) -> PollAnswer:
    try:
        body = json.loads(data)
        return Report(
            int(body["clock_ms"]),
            tuple(
                RunningTask(row[0], int(row[1]), int(row[3]))
                for row in body.get("running") or ()
            ),
            tuple(
                EndedTask(int(row[0]), row[1], int(row[2]), RunEnd(row[3]))
                for row in body.get("ended") or ()
            ),
            int(body.get("born", 0)),
        )
    except (ValueError, KeyError, TypeError, IndexError, AttributeError):
        return NoAnswer()
