"""Targets that were lost while they ran tasks, and the tasks that they ran.

A task may crash each target that starts it. A crash cannot be told from a cut
connection at first: the target is only silent, and its lease ends. It is known
to have crashed once another incarnation answers or registers, and not to have
crashed once the same one answers. Targets also crash for other reasons: a task
whose start may not have reached the target is no cause, and one whose start is only
likely to have reached it is suspected, but not proved to be one.
"""

import enum
from collections.abc import Iterable

import attrs

from anvilford.placement._model import Outcome
from anvilford.placement._model import OutcomeKind

# Crashed targets after which a task is given up. The platform allows two.
CRASHES_TO_GIVE_UP = 2
# Time for which a loss is remembered. Targets return after some seconds, and
# callers send a job again some seconds after its last answer.
LOSS_RETENTION_S = 60.0


class LossState(enum.IntEnum):
    """What is known of a lost target."""

    SILENT = 1  # It may have crashed or be cut off.
    CRASHED = 2  # Another incarnation has replaced it.
    RETURNED = 3  # It has answered again, so that it had not crashed.


@attrs.frozen
class TargetLoss:
    """A target that was lost while it may have run tasks.

    Attributes:
        target_id: Id of the target.
        incarnation: Incarnation that was lost.
        tasks: Names of the tasks that it may have run.
        state: What is known of the target.
        started: Those of `tasks` that had started there, or are likely to have.
    """

    target_id: str
    incarnation: int
    tasks: tuple[str, ...]
    state: LossState
    started: tuple[str, ...] = ()


def _merge(known: TargetLoss, loss: TargetLoss) -> TargetLoss:
    """Returns a loss with what was known of the same target before."""
    is_crash = known.state is LossState.CRASHED
    return attrs.evolve(
        loss,
        tasks=tuple(sorted({*known.tasks, *loss.tasks})),
        # A crash is final; a report of an earlier state may come late.
        state=LossState.CRASHED if is_crash else loss.state,
        started=tuple(sorted({*known.started, *loss.started})),
    )


class CrashHistory:
    """Losses of targets, by the tasks that were running.

    One history lasts as long as its process: the leader adds the losses that it
    sees and reports them to the other members, any of which may lead next.
    """

    def __init__(self):
        self._losses: dict[tuple[str, int], tuple[float, TargetLoss]] = {}
        # Tasks of each lost target whose start it had confirmed to this process.
        self._confirmed: dict[tuple[str, int], set[str]] = {}
        self._keys_by_task: dict[str, set[tuple[str, int]]] = {}
        self._changes: list[TargetLoss] = []

    def record_loss(
        self,
        target_id: str,
        incarnation: int,
        tasks: Iterable[str],
        started: Iterable[str],
        state: LossState,
        now: float,
        confirmed: Iterable[str] = (),
    ) -> None:
        """Records that a target was lost, or what became of a lost one.

        Args:
            target_id: Id of the target.
            incarnation: Incarnation that was lost.
            tasks: Names of the tasks that it may have run when it was lost.
            started: Those of `tasks` that had started there, or are likely to
                have.
            state: What is known of the target.
            now: Current time in seconds.
            confirmed: Those of `started` whose start the target had confirmed,
                by its answer or by a report.
        """
        key = (target_id, incarnation)
        if confirmed := set(confirmed):
            self._confirmed.setdefault(key, set()).update(confirmed)
        known = self._losses.get(key)
        loss = TargetLoss(
            target_id,
            incarnation,
            tuple(sorted(tasks)),
            state,
            tuple(sorted(started)),
        )
        if known is not None:
            loss = _merge(known[1], loss)
        if (known is not None and known[1] == loss) or not loss.tasks:
            return
        self.apply(loss, now)
        self._changes.append(loss)

    def blame_for_earlier_losses(self, task: str, now: float) -> None:
        """Counts a task as started on all targets that were lost under it.

        To be called once it has crashed a target at its start: of the earlier
        ones it is not known whether the start had reached them.
        """
        for loss in self._losses_under(task):
            self.record_loss(
                loss.target_id,
                loss.incarnation,
                loss.tasks,
                (*loss.started, task),
                loss.state,
                now,
            )

    def record_return(self, target_id: str, incarnation: int) -> None:
        """Records that an incarnation answers, so that it had not crashed."""
        known = self._losses.get((target_id, incarnation))
        if known is not None and known[1].state is LossState.SILENT:
            loss = attrs.evolve(known[1], state=LossState.RETURNED)
            self.apply(loss, known[0])
            self._changes.append(loss)

    def apply(self, loss: TargetLoss, now: float) -> None:
        """Applies a loss, which another member may have reported.

        Two leaders may lose the same target with different tasks on it, so that
        the tasks are added to those that are known.
        """
        self.drop_old_losses(now)
        key = (loss.target_id, loss.incarnation)
        known = self._losses.get(key)
        if loss.state is LossState.RETURNED:
            if known is not None:
                self._forget(key)
            return
        if known is not None:
            loss = _merge(known[1], loss)
        self._losses[key] = (now, loss)
        for task in loss.tasks:
            self._keys_by_task.setdefault(task, set()).add(key)

    def pop_changes(self) -> tuple[TargetLoss, ...]:
        """Returns and clears the recorded changes since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def count_losses(self, task: str) -> int:
        """Returns how many targets were lost that may have run a task."""
        return len(self._keys_by_task.get(task, ()))

    def count_possible_crashes(self, task: str) -> int:
        """Returns how many targets were lost that a task may have crashed."""
        return sum(task in loss.started for loss in self._losses_under(task))

    def count_crashes(self, task: str) -> int:
        """Returns how many targets crashed on which a task is likely to have started."""
        return len(self.crashed_targets(task))

    def count_proven_crashes(self, task: str) -> int:
        """Returns how many targets crashed that had confirmed the task's start.

        A start without an answer may have come after the crash, also if the
        target was heard a moment before. The reports of other members do not
        tell such starts, so that only what this process saw counts.
        """
        return sum(
            loss.state is LossState.CRASHED
            and task in self._confirmed.get(key, ())
            for key in self._keys_by_task.get(task, ())
            for loss in (self._losses[key][1],)
        )

    def crashed_targets(self, task: str) -> list[str]:
        """Returns the ids of the targets that count as crashed by a task."""
        return [
            loss.target_id
            for loss in self._losses_under(task)
            if loss.state is LossState.CRASHED and task in loss.started
        ]

    def _losses_under(self, task: str) -> list[TargetLoss]:
        return [
            self._losses[key][1] for key in self._keys_by_task.get(task, ())
        ]

    def drop_old_losses(self, now: float) -> None:
        """Forgets the losses of more than `LOSS_RETENTION_S` ago."""
        for key, (at, _) in list(self._losses.items()):
            if now - at > LOSS_RETENTION_S:
                self._forget(key)

    def _forget(self, key: tuple[str, int]) -> None:
        _, loss = self._losses.pop(key)
        self._confirmed.pop(key, None)
        for task in loss.tasks:
            keys = self._keys_by_task[task]
            keys.discard(key)
            if not keys:
                del self._keys_by_task[task]


def crash_outcome(crashes: CrashHistory, task: str) -> Outcome:
    """Returns the outcome of a job with a task that is given up.

    Targets that crash one after another for reasons of their own also leave
    starts without an answer. Only proof that the task ran on enough crashed
    targets shows that its job has failed; otherwise nobody knows, and the caller
    is told that tasks may have run.
    """
    if crashes.count_proven_crashes(task) >= CRASHES_TO_GIVE_UP:
        return Outcome(OutcomeKind.FAILED, "targets_crashed")
    return Outcome(OutcomeKind.LOST, "targets_lost")
