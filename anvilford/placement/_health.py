"""Learns the speed of targets and suspends those that fail what they start.

Answers targets that are slow, that fail every task while they look healthy,
or on which tasks stand still.
"""

from collections.abc import Collection

from anvilford.placement._state import Run
from anvilford.placement._state import Target

# Weight of a new sample; a target that turns slow is known after about ten.
SPEED_WEIGHT = 0.12
# The first samples weigh more, so that a new placing entry learns quickly.
INITIAL_SPEED_WEIGHT = 0.4
# A sample counts for at most this factor either way: 3% of the tasks run
# seven times longer than the rest and say nothing of the target.
MAX_SAMPLE_FACTOR = 2.5
SPEED_RANGE = (0.05, 8.0)
# Failures without a success between that suspend a target. One in 500 tasks
# fails by its own fault, so two in a row are rarely chance.
FAILURES_TO_SUSPEND = 2
SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 6.0
# More than this share of the targets is never suspended together: then the
# tasks are bad, not the targets.
MAX_SUSPENDED_SHARE = 0.5
# A run whose percent has not moved for this long stands still. The slowest
# tasks of the users' sheets gain a percent each 90 ms.
STALL_TIMEOUT_S = 0.6


def record_success(target: Target, run: Run, now: float) -> None:
    """Updates the speed after a run that ended as done."""
    target.consecutive_failures = 0
    if run.task is None or not run.confirmed_at:
        return
    seconds = max(now - run.confirmed_at, 0.002)
    estimate = run.task.spec.estimate_ms / 1000
    if estimate <= 0:
        return
    sample = estimate / seconds
    bounded = min(
        max(sample, target.speed / MAX_SAMPLE_FACTOR),
        target.speed * MAX_SAMPLE_FACTOR,
    )
    weight = max(
        SPEED_WEIGHT, INITIAL_SPEED_WEIGHT / (1 + target.speed_samples)
    )
    speed = target.speed * (bounded / target.speed) ** weight
    target.speed = min(max(speed, SPEED_RANGE[0]), SPEED_RANGE[1])
    target.speed_samples += 1


def record_failure(
    target: Target, peers: Collection[Target], now: float
) -> bool:
    """Counts a failure; suspends the target after several.

    Args:
        target: Where it happened.
        peers: All targets of the service.
        now: Time.

    Returns:
        True if the target is suspended by this failure.
    """
    target.consecutive_failures += 1
    if target.consecutive_failures < FAILURES_TO_SUSPEND:
        return False
    suspended = sum(1 for peer in peers if peer.suspended_until > now)
    if suspended + 1 > MAX_SUSPENDED_SHARE * len(peers):
        return False
    length = SUSPENSION_S * 2.0 ** (
        target.consecutive_failures - FAILURES_TO_SUSPEND
    )
    target.suspended_until = now + min(length, MAX_SUSPENSION_S)
    return True


def is_stalled(run: Run, now: float) -> bool:
    """Whether a run has made no progress for too long."""
    return (
        run.confirmed_at > 0
        and now - max(run.percent_at, run.confirmed_at) > STALL_TIMEOUT_S
    )
