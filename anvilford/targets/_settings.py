"""Settings of the target client and the attempts it accepts."""

from typing import Protocol

import attrs

from anvilford.model import TaskSpec


@attrs.frozen
class TargetSettings:
    """Settings of calls to targets.

    Attributes:
        connect_timeout_ms: Longest wait for a connection to be established.
        idle_ms: A connection idle for longer is not used again. Must be below
            the target's own idle limit: a close by the target that crosses a
            request makes the outcome of that request unknown.
        threads: Attempts that can be in flight at once.
        cancel_threads: Cancellations that can be in flight at once. They have
            their own threads so that they never wait for running attempts.
        response_bytes: Largest body accepted from a target.
        grace_ms: Time between the deadline and the end of the lease, and
            again between the end of the lease and giving up on an answer.
    """

    connect_timeout_ms: int = 250
    idle_ms: int = 4000
    threads: int = 128
    cancel_threads: int = 8
    response_bytes: int = 4 * 1024 * 1024
    grace_ms: int = 100


class AttemptToStart(Protocol):
    """What the client needs to know of an attempt to start.

    Attributes:
        attempt_id: Unique per attempt.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        task: The task to run.
        deadline: Loop time at which the answer is due.
    """

    attempt_id: str
    target_id: str
    address: str
    task: TaskSpec
    deadline: float


class AttemptToCancel(Protocol):
    """What the client needs to know of an attempt to cancel.

    Attributes:
        attempt_id: Id given when the attempt was started.
        target_id: VM id of the target.
        address: "IP:port" of the target.
    """

    attempt_id: str
    target_id: str
    address: str
