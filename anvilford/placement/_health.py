"""Speed estimation and failure detection for targets.

Handles targets that are slow, that fail every task although they report to be
healthy, or on which tasks make no progress.
"""

from collections.abc import Collection

from anvilford.placement._state import Run
from anvilford.placement._state import Target

# Weight of a new sample in the moving average of the speed. A target that
# becomes slow is detected after about ten samples.
SPEED_WEIGHT = 0.12
# Weight of the first sample. The first samples weigh more, so that the
# estimates of a new placer converge quickly.
INITIAL_SPEED_WEIGHT = 0.4
# Samples are clipped to this factor above or below the current estimate: 3% of
# the tasks run seven times longer than the rest, whatever their target.
MAX_SAMPLE_FACTOR = 2.5
# Bounds of the estimated speed; 1 matches the estimates of the jobs.
SPEED_RANGE = (0.05, 8.0)
# Number of consecutive failures that suspends a target. One in 500 tasks fails
# for reasons of its own, so two in a row are rarely a coincidence. The runs of
# one job count as one failure, and a task that failed before as none.
FAILURES_TO_SUSPEND = 2
# Length of the first suspension; doubles with each further failure.
SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 6.0
# Maximum share of a service's targets suspended at the same time. If more of
# them fail, the cause is the tasks rather than the targets.
MAX_SUSPENDED_SHARE = 0.5
# A run without a change of its progress percentage for this long counts as
# stalled, if its task is short. The slowest tasks in the users' workload
# descriptions advance by one percent every 90 ms.
STALL_TIMEOUT_S = 0.6
# The same for long tasks, as a share of the expected run time. One percent takes
# that long if the task takes 15 times the expected time: 3% of the tasks run
# seven times longer than the rest, and a target may be half as fast as assumed.
STALL_RUN_TIME_SHARE = 0.15


def record_success(
    target: Target, run: Run, now: float, slowdown: float = 1.0
) -> None:
    """Updates a target's failure count and speed after a completed run.

    The speed is a geometric moving average of the ratio of estimated to
    measured run time. It leaves out the effect of what ran beside the run.

    Args:
        target: Target of the run.
        run: The completed run.
        now: Current time in seconds.
        slowdown: Factor by which other runs on the target are known to have
            slowed down the run.
    """
    target.recent_failures.clear()
    if run.task is None or not run.confirmed_at:
        return
    seconds = max(now - run.confirmed_at, 0.002)
    estimate = run.task.spec.estimate_ms / 1000
    if estimate <= 0:
        return
    sample = estimate * slowdown / seconds
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
    target: Target, failed: str, peers: Collection[Target], now: float
) -> bool:
    """Counts a failure and suspends the target after consecutive ones.

    Args:
        target: Target on which the failure occurred.
        failed: Id of the job if a run reported its failure, as its tasks may
            be the cause and then fail together; otherwise name of the task.
        peers: All targets of the service, including `target`.
        now: Current time in seconds.

    Returns:
        True if this failure suspended the target.
    """
    if failed in target.recent_failures:
        return False
    target.recent_failures.add(failed)
    failures = len(target.recent_failures)
    if failures < FAILURES_TO_SUSPEND:
        return False
    suspended = sum(1 for peer in peers if peer.suspended_until > now)
    if suspended + 1 > MAX_SUSPENDED_SHARE * len(peers):
        return False
    length = SUSPENSION_S * 2.0 ** (failures - FAILURES_TO_SUSPEND)
    target.suspended_until = now + min(length, MAX_SUSPENSION_S)
    return True


def is_stalled(target: Target, run: Run, now: float) -> bool:
    """Returns whether a run has made no progress for too long.

    Its percentage changes less often the longer the task takes, which is not
    known of a run that no entry has claimed.
    """
    if not run.confirmed_at or run.task is None:
        return False
    run_time = run.task.spec.estimate_ms / 1000 / target.speed
    timeout = max(STALL_TIMEOUT_S, STALL_RUN_TIME_SHARE * run_time)
    return now - max(run.percent_at, run.confirmed_at) > timeout
