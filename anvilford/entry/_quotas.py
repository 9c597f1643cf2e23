"""Limits on the tasks that each caller has in progress."""

import collections
import math
from collections.abc import Mapping


class Quotas:
    """Counts tasks in progress by caller and compares them with quotas.

    A quota applies to all entries together. Each entry enforces an equal part
    of it, rounded up, so that a decision needs no message. The sum over all
    entries may exceed the quota by less than one task per entry.

    Attributes:
        limits: Most tasks in progress at all entries, by caller; a caller that
            is absent has no limit.
        in_progress: Tasks in progress at this entry, by caller.
    """

    def __init__(self):
        self.limits: Mapping[str, int] = {}
        self.in_progress: collections.Counter[str] = collections.Counter()

    def admits(self, caller: str, task_count: int, entry_count: int) -> bool:
        """Returns whether a job fits within the caller's quota.

        Args:
            caller: Name of the caller.
            task_count: Number of tasks in the job.
            entry_count: Number of live entries that share the quota, including
                this one.
        """
        quota = self.limits.get(caller)
        if quota is None:
            return True
        local_limit = math.ceil(quota / entry_count)
        return self.in_progress[caller] + task_count <= local_limit

    def add_tasks(self, caller: str, task_count: int) -> None:
        """Adds the tasks of an admitted job."""
        self.in_progress[caller] += task_count

    def release_tasks(self, caller: str, task_count: int) -> None:
        """Subtracts the tasks of a job that was answered."""
        self.in_progress[caller] -= task_count
        if not self.in_progress[caller]:
            del self.in_progress[caller]
