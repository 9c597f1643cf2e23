"""Decides the numbers of runs, which grow with each start of a task.

A target refuses a start whose number is not higher than that of an earlier run
of the task, also if another placer started that run.
"""

# Distance between the first run numbers of consecutive fencing tokens. Numbers
# under a new token continue above all earlier ones.
RUNS_PER_FENCE = 16


def next_run_number(last: int, fence: int) -> int:
    """Returns the number of the next run of a task.

    Args:
        last: Number of the last run; 0 if there was none.
        fence: Fencing token of the placer.
    """
    return max(last, fence * RUNS_PER_FENCE) + 1


def started_under_earlier_fence(run_number: int, fence: int) -> bool:
    """Returns whether a run was started before a placer got its token."""
    return run_number <= fence * RUNS_PER_FENCE
