"""Settings, outcomes and helpers for the tests of the target client."""

import asyncio
import json
import time

import attrs

from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.model import TaskSpec
from anvilford.model import UnknownAttemptReason
from anvilford.targets import TargetClient
from anvilford.targets import TargetSettings

SETTINGS = TargetSettings(grace_ms=40, response_bytes=2000, threads=16)
NOT_SENT = AttemptNotStarted(NotStartedReason.NOT_SENT)
REFUSED = AttemptNotStarted(NotStartedReason.CONNECTION_REFUSED)
LOST = AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
TIMEOUT = AttemptUnknown(UnknownAttemptReason.TIMEOUT)
BAD = AttemptUnknown(UnknownAttemptReason.BAD_RESPONSE)
MISMATCH = AttemptUnknown(UnknownAttemptReason.ATTEMPT_MISMATCH)


@attrs.frozen
class Attempt:
    """Attempt that the client can start and cancel.

    Attributes:
        address: "IP:port" of the target.
        deadline: Monotonic time in seconds at which the answer is due.
        payload: Payload of the task.
        attempt_id: Id of the attempt.
        target_id: VM id of the target.
    """

    address: str
    deadline: float
    payload: object = None
    attempt_id: str = "a/1"
    target_id: str = "t1"

    @property
    def task(self):
        """The task to run."""
        return TaskSpec("op", self.payload)


def encode_answer(status, document, extra="", length=None, **changes):
    """Encodes an HTTP response of a target.

    Args:
        status: HTTP status.
        document: Members of the JSON body besides the attempt id, or the body
            itself as text.
        extra: Further header lines, each with its line end.
        length: Value of Content-Length; by default the length of the body.
        **changes: Members of the JSON body to add or replace.
    """
    if isinstance(document, dict):
        document = json.dumps({"attempt": "a/1", **document, **changes})
    body = document.encode()
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{extra}\r\n"
    return head.encode() + body


def run_attempts(
    address, *attempts, settings=SETTINGS, connections=4, lease_ms=9000
):
    """Starts attempts one after the other and returns their outcomes.

    Args:
        address: "IP:port" of the target.
        *attempts: Time until the deadline in seconds and payload of each
            attempt; by default one attempt with two seconds and no payload.
        settings: Settings of the client.
        connections: Maximum number of connections to the target.
        lease_ms: Longest lease of each attempt, in milliseconds.
    """

    async def start():
        outcomes = []
        with TargetClient(settings, lambda _: connections) as client:
            for deadline, payload in attempts or ((2.0, None),):
                attempt = Attempt(address, time.monotonic() + deadline, payload)
                outcomes.append(await client.start(attempt, lease_ms, "00-t"))
        return outcomes

    return asyncio.run(start())
