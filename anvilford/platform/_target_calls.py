"""HTTP client for the targets, which the platform calls "runners"."""

import asyncio
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
from anvilford.placement import Restarted
from anvilford.placement import RunEnd
from anvilford.placement import RunningTask
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.platform._decoding import DECODE_ERRORS
from anvilford.platform._decoding import require_int
from anvilford.platform._decoding import require_str

# Refusals by the value of "reason" in a response with status 409.
_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCE,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


class TargetClient:
    """Client that starts, stops and polls runs on targets.

    It never retries a call; that is up to the code that uses it.

    Attributes:
        http: HTTP client with the connections to the targets.
    """

    def __init__(self, http: HttpClient):
        self.http = http

    async def start(
        self, address: str, order: StartRun, timeout: float
    ) -> OrderAnswer:
        """Asks a target to start a run of a task.

        The request names the target by its id only, and a target that has
        restarted under its id may be of another kind. It is therefore sent only
        over a connection on which the intended incarnation has reported; a new
        connection is used for a poll first.

        Args:
            address: "IP:port" of the target.
            order: The run to start.
            timeout: Time limit for the call, in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        answer = await self._send_start(address, order, timeout)
        if isinstance(answer, CallFailed) and answer.no_connection:
            poll = Poll(
                order.target_id, order.incarnation, order.fence, None, 0, 0, 0.0
            )
            left = deadline - loop.time()
            match await self.poll(address, poll, left):
                case Report(incarnation=incarnation) if incarnation not in (
                    0,
                    order.incarnation,
                ):
                    return Restarted(incarnation)
                case Report():
                    left = deadline - loop.time()
                    answer = await self._send_start(address, order, left)
                case LifeReplaced() | Refused() as refusal:
                    return refusal
                case _:
                    return NotSent()
        return _decode_order_answer(answer)

    async def _send_start(
        self, address: str, order: StartRun, timeout: float
    ) -> ClientResponse | CallFailed:
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": order.deadline_ms,
            "fencing_token": order.fence,
        }
        return await self._call(
            address,
            "POST /v1/run-start",
            order.target_id,
            body,
            timeout,
            process_id=order.incarnation,
        )

    async def stop(
        self, address: str, order: StopRun, timeout: float
    ) -> OrderAnswer:
        """Asks a target to stop a run of a task.

        Args:
            address: "IP:port" of the target.
            order: The run to stop.
            timeout: Time limit for the call, in seconds.
        """
        body = {
            "task": order.task,
            "run": order.run,
            "fencing_token": order.fence,
        }
        answer = await self._call(
            address, "POST /v1/run-stop", order.target_id, body, timeout
        )
        return _decode_order_answer(answer)

    async def poll(
        self, address: str, order: Poll, timeout: float
    ) -> PollAnswer:
        """Extends a target's lease and fetches the state of its runs.

        The request is called "hold" on the wire.

        Args:
            address: "IP:port" of the target.
            order: The poll to send.
            timeout: Time limit for the call, in seconds. It must exceed the
                time for which the target may hold the response back.
        """
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
            case ClientResponse(200, data, connection):
                report = _decode_report(data)
                if isinstance(report, Report) and connection is not None:
                    connection.process_id = (
                        report.incarnation or order.incarnation
                    )
                return report
            case _:
                return _decode_order_answer(answer)

    async def _call(
        self,
        address: str,
        request_line: str,
        target_id: str,
        body: dict[str, Any],
        timeout: float,
        process_id: int | None = None,
    ) -> ClientResponse | CallFailed:
        return await self.http.call(
            address,
            request_line,
            json.dumps(body).encode(),
            timeout,
            f"X-Anvilford-Expect-Instance: {target_id}\r\n",
            process_id=process_id,
        )


def _decode_order_answer(answer: ClientResponse | CallFailed) -> Any:
    """Converts the result of an HTTP call to an `OrderAnswer`."""
    match answer:
        case CallFailed(False):
            return NotSent()
        case CallFailed(connection_closed=connection_closed):
            return NoAnswer(connection_closed)
        case ClientResponse(421):
            return LifeReplaced()
        case ClientResponse(429) | ClientResponse(503):
            return Refused(Refusal.UNHEALTHY)
        case ClientResponse(status, data):
            return _decode_order_body(status, data)


def _decode_order_body(status: int, data: bytes) -> Any:
    """Converts a response with a JSON body to an `OrderAnswer`.

    A response that does not follow the protocol counts as no answer, because
    it does not show whether the target carried the order out.
    """
    try:
        body = json.loads(data) if data else {}
        clock_ms = body.get("clock_ms")
        if clock_ms is not None:
            clock_ms = require_int(clock_ms)
        reason = str(body.get("reason"))
    except DECODE_ERRORS:
        return NoAnswer()
    if status == 200 and clock_ms is not None:
        return Accepted(clock_ms)
    if status == 409:
        return Refused(
            _REFUSAL_BY_REASON.get(reason, Refusal.INVALID), clock_ms
        )
    if status == 400:
        return Refused(Refusal.INVALID, clock_ms)
    return NoAnswer()


def _decode_report(data: bytes) -> PollAnswer:
    try:
        body = json.loads(data)
        return Report(
            require_int(body["clock_ms"]),
            tuple(
                RunningTask(
                    require_str(row[0]), require_int(row[1]), int(row[3])
                )
                for row in body.get("running") or ()
            ),
            tuple(
                EndedTask(
                    require_int(row[0]),
                    require_str(row[1]),
                    require_int(row[2]),
                    RunEnd(row[3]),
                )
                for row in body.get("ended") or ()
            ),
            require_int(body.get("born", 0)),
        )
    except DECODE_ERRORS:
        return NoAnswer()
