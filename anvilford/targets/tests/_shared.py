"""What the tests of the target client share."""

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
    """Stands for the scheduler's effects."""

    address: str
    deadline: float
    payload: object = None
    attempt_id: str = "a/1"
    target_id: str = "t1"

    @property
    def task(self):
        """The task to run."""
        return TaskSpec("op", self.payload)


def answer(status, document, extra="", length=None, **changes):
    """Encodes an answer; `length` overrides the true length."""
    if isinstance(document, dict):
        document = json.dumps({"attempt": "a/1", **document, **changes})
    body = document.encode()
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{extra}\r\n"
    return head.encode() + body


def run(address, *attempts, settings=SETTINGS, connections=4, lease_ms=9000):
    """Starts attempts one after the other and returns their outcomes."""

    async def start():
        outcomes = []
        with TargetClient(settings, lambda _: connections) as client:
            for deadline, payload in attempts or ((2.0, None),):
                attempt = Attempt(address, time.monotonic() + deadline, payload)
                outcomes.append(await client.start(attempt, lease_ms, "00-t"))
        return outcomes

    return asyncio.run(start())
