"""Effects of the placer, and the answers of targets to its commands."""

import enum

import attrs

from anvilford.placement._model import Outcome


@attrs.frozen
class StartRun:
    """Command to start a run of a task; reaches no other incarnation.

    Attributes:
        target_id: Id of the target.
        incarnation: Incarnation of the target that the command is meant for.
        task: Name of the task.
        run: Run number; increases with each start of the task.
        payload: Text passed to the task.
        deadline_ms: End of the lease, in milliseconds on the target's clock.
        fence: Fencing token of the placer.
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
    """Command to stop a run, or to prevent its start if it arrives first.

    Attributes:
        target_id: Id of the target.
        incarnation: Incarnation of the target that the command is meant for.
        task: Name of the task.
        run: Run number.
        fence: Fencing token of the placer.
    """

    target_id: str
    incarnation: int
    task: str
    run: int
    fence: int


@attrs.frozen
class Poll:
    """Command to extend a target's lease and to report its runs.

    Attributes:
        target_id: Id of the target.
        incarnation: Incarnation of the target that the command is meant for.
        fence: Fencing token of the placer.
        deadline_ms: New end of the lease, in milliseconds on the target's
            clock; None leaves the lease unchanged.
        acknowledged: Highest sequence number of an ended run that the placer
            has processed; the target may discard ended runs up to it.
        wait_ms: How long the target may delay its answer until a run ends.
        sent_at: Time at which the placer issued the command.
        is_probe: True for an immediate poll in addition to the regular one.
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
    """Completes the pending offers of a job with its outcome."""

    job_id: str
    outcome: Outcome


@attrs.frozen
class Decision:
    """A decision to be logged and counted.

    Attributes:
        event: Text of the log line; also a metric label, with underscores.
        job_id: Id of the job; empty for decisions about targets.
        fields: Fields of the log line: the inputs of the decision, with their
            age or version, and its result.
    """

    event: str
    job_id: str
    fields: dict[str, object]


@attrs.frozen
class FenceLost:
    """A target has accepted a higher fencing token than this placer's.

    Attributes:
        target_id: The target.
        was_owned: Whether it had obeyed the token of this placer before.
    """

    target_id: str
    was_owned: bool


Effect = StartRun | StopRun | Poll | Settle | Decision | FenceLost


class Refusal(enum.StrEnum):
    """Reason for which a target refused a command without any effect.

    Attributes:
        FENCE: The target has seen a higher fencing token than the command's.
        OLD_RUN: The run number is not above the earlier ones of the task.
        LATE: The lease in the command has already ended.
        NO_ROOM: The target has too few free resources for the task.
        TICKET: The target answered with the reason "ticket".
        UNHEALTHY: The target answered with HTTP status 429 or 503.
        INVALID: The target rejected the command as malformed, or answered with
            an unknown reason.
    """

    FENCE = "fence"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The target carried out the command.

    Attributes:
        clock_ms: Clock of the target, in milliseconds.
    """

    clock_ms: int


@attrs.frozen
class Refused:
    """The target refused the command.

    Attributes:
        reason: Reason for the refusal.
        clock_ms: Clock of the target, in milliseconds; None if the answer did
            not contain it.
    """

    reason: Refusal
    clock_ms: int | None = None


@attrs.frozen
class LifeReplaced:
    """Another incarnation of the target answered; earlier runs are gone."""


@attrs.frozen
class Restarted:
    """The target has restarted under its id; the command was not sent to it.

    Attributes:
        incarnation: Its present incarnation.
    """

    incarnation: int


@attrs.frozen
class NotSent:
    """The command was not sent; the target cannot have received any of it."""


@attrs.frozen
class NoAnswer:
    """The command was sent without an answer and may still be carried out.

    Attributes:
        connection_closed: True if the connection was closed after the command
            was sent, as by a target that crashed when it received it.
    """

    connection_closed: bool = False


OrderAnswer = Accepted | Refused | LifeReplaced | Restarted | NotSent | NoAnswer


class RunEnd(enum.StrEnum):
    """How a run ended on its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # The lease of the target has ended.
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunningTask:
    """A run in progress on a target.

    Attributes:
        task: Name of the task.
        run: Run number.
        percent: Completed share of the work, in percent.
    """

    task: str
    run: int
    percent: int


@attrs.frozen
class EndedTask:
    """A run that has ended on a target.

    Attributes:
        sequence: Number of the end; increases with each end at the target.
        task: Name of the task.
        run: Run number.
        end: How the run ended.
    """

    sequence: int
    task: str
    run: int
    end: RunEnd


@attrs.frozen
class Report:
    """Answer to a poll.

    Attributes:
        clock_ms: Clock of the target, in milliseconds.
        running: Runs in progress.
        ended: Ended runs that are not acknowledged, oldest first.
        incarnation: Incarnation of the target that answered; 0 if the answer
            did not contain it.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    incarnation: int = 0


PollAnswer = Report | Refused | LifeReplaced | NotSent | NoAnswer
