"""Settings of the target client and the attempts that it accepts."""

from typing import Protocol

import attrs

from anvilford.model import TaskSpec


@attrs.frozen
class TargetSettings:
    """Settings of calls to targets.

    Attributes:
        connect_timeout_ms: Longest wait for a connection to be established, in
            milliseconds.
        idle_ms: Idle time in milliseconds after which a connection is not used
            again. It must be below the target's own idle timeout: if the
            target closes a connection just as a request is sent on it, the
            outcome of that request is unknown.
        threads: Number of threads, and so of attempts in flight at once.
        cancel_threads: Number of threads for cancellations, and so of
            cancellations in flight at once. They are separate so that a
            cancellation never waits for running attempts.
        response_bytes: Largest response body accepted from a target, in bytes.
        grace_ms: Time in milliseconds between the deadline and the end of the
            lease, and again between the end of the lease and the timeout of
            the response.
    """

    connect_timeout_ms: int = 250
    idle_ms: int = 4000
    threads: int = 128
    cancel_threads: int = 8
    response_bytes: int = 4 * 1024 * 1024
    grace_ms: int = 100


class AttemptToStart(Protocol):
    """Attempt that the client can start.

    Attributes:
        attempt_id: Unique id of the attempt.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        task: Task to run.
        deadline: Loop time in seconds at which the answer is due.
    """

    attempt_id: str
    target_id: str
    address: str
    task: TaskSpec
    deadline: float


class AttemptToCancel(Protocol):
    """Attempt that the client can cancel.

    Attributes:
        attempt_id: Id with which the attempt was started.
        target_id: VM id of the target.
        address: "IP:port" of the target.
    """

    attempt_id: str
    target_id: str
    address: str
