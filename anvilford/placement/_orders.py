"""Orders to targets, and what the targets answer."""

import enum

import attrs

from anvilford.placement._model import Outcome


@attrs.frozen
class StartRun:
    """Order to start a task.

    Attributes:
        target_id: The target.
        incarnation: Incarnation of the target that is meant.
        task: Name of the task.
        run: Number of this start; grows with each start of the task.
        payload: Text for the task.
        deadline_ms: End of the lease on the target's clock.
        fence: Fencing token.
    """

    target_id: str
    incarnation: int
    task: str
    run: int
    payload: str
    deadline_ms: int
    fence: int


@attrs.frozen
class StopRun:
    """Order to stop a run; also keeps it from starting later."""

    target_id: str
    incarnation: int
    task: str
    run: int
    fence: int


@attrs.frozen
class Poll:
    """Extends the lease of a target, acknowledges ends and asks for news.

    Attributes:
        target_id: The target.
        incarnation: Incarnation of the target that is meant.
        fence: Fencing token.
        deadline_ms: New end of the lease on the target's clock; None leaves
            the lease as it is.
        acknowledged: Ends up to this number may be forgotten.
        wait_ms: How long the target may wait for an end before it answers.
        sent_at: Time of the order.
        is_probe: True for an extra poll beside the regular one.
    """

    target_id: str
    incarnation: int
    fence: int
    deadline_ms: int | None
    acknowledged: int
    wait_ms: int
    sent_at: float
    is_probe: bool = False


@attrs.frozen
class Settle:
    """Tells the entries that offered a job how it ended."""

    job_id: str
    outcome: Outcome


@attrs.frozen
class Decision:
    """A decision worth a log line.

    Attributes:
        event: What was decided.
        job_id: The job, or empty.
        fields: Inputs with their age or version, and the outcome.
    """

    event: str
    job_id: str
    fields: dict[str, object]


@attrs.frozen
class FenceLost:
    """A target obeys a higher fencing token than ours."""

    target_id: str


Effect = StartRun | StopRun | Poll | Settle | Decision | FenceLost


class Refusal(enum.StrEnum):
    """Why a target refused an order; it then has done nothing."""

    FENCE = "fence"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The order was carried out.

    Attributes:
        clock_ms: The target's clock.
    """

    clock_ms: int


@attrs.frozen
class Refused:
    """The order was refused; the clock is None if it was not told."""

    reason: Refusal
    clock_ms: int | None = None


@attrs.frozen
class LifeReplaced:
    """Another life of the target answered; what ran before is gone."""


@attrs.frozen
class NotSent:
    """No byte of the order left this process."""


@attrs.frozen
class NoAnswer:
    """The order may be carried out, now or later."""


OrderAnswer = Accepted | Refused | LifeReplaced | NotSent | NoAnswer


class RunEnd(enum.StrEnum):
    """How a run ended at the target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunningTask:
    """A run in progress; `percent` is the share of its work done."""

    task: str
    run: int
    percent: int


@attrs.frozen
class EndedTask:
    """A run that has ended; `sequence` grows with each end at the target."""

    sequence: int
    task: str
    run: int
    end: RunEnd


@attrs.frozen
class Report:
    """Answer to a poll.

    Attributes:
        clock_ms: The target's clock.
        running: Runs in progress.
        ended: Ends that are not acknowledged, oldest first.
        incarnation: Incarnation of the target that answered; 0 if it was not told.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    incarnation: int = 0


PollAnswer = Report | Refused | LifeReplaced | NotSent | NoAnswer
