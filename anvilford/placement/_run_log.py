"""Log lines about the runs on one target."""

from collections.abc import Iterable

from anvilford.placement._orders import Decision
from anvilford.placement._state import Run
from anvilford.placement._state import Target


def describe_runs(
    event: str,
    target: Target,
    runs: Iterable[Run],
    fence: int,
    now: float,
    **inputs: object,
) -> list[Decision]:
    """Returns a decision about runs on one target, for the log.

    Args:
        event: Text of the log line.
        target: Target of the runs.
        runs: The runs.
        fence: Fencing token of the placer.
        now: Current time in seconds.
        **inputs: Further fields of the log line.

    Returns:
        One decision; none without runs.
    """
    names = [f"{run.task_name}/{run.number}" for run in runs]
    if not names:
        return []
    fields = {
        "target": target.record.target_id,
        "runs": names,
        "fence": fence,
        "lease_left_ms": int((target.lease_end - now) * 1000),
        "contact_age_ms": int((now - target.last_contact_at) * 1000),
        **inputs,
    }
    return [Decision(event, "", fields)]


def describe_suspension(target: Target, cause: str, now: float) -> Decision:
    """Returns a decision about a target that was suspended, for the log.

    Args:
        target: The target.
        cause: How its last run failed.
        now: Current time in seconds.
    """
    fields = {
        "target": target.record.target_id,
        "cause": cause,
        "strikes": len(target.recent_failures),
        "for_ms": int((target.suspended_until - now) * 1000),
    }
    return Decision("target suspended", "", fields)
