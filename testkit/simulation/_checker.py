"""Checks the history of a simulated run against the invariants P1 to P8.

P1: a repeatable task runs at most once.
P2: an answer covers all tasks of its job.
P3: answers to one submission agree and carry its own results.
P4: a task that is reported as not run has not run.
P5: a task that is not repeatable runs at most once.
P6: a leaving target receives no tasks after `LEAVING_LIMIT_S`.
P7: an entry that stops as planned answers its requests.
P8: configuration versions never decrease, and every entry reaches the newest.
"""

import collections

import attrs

from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import NotRun
from anvilford.model import TaskState
from anvilford.protocol import RequestKind
from testkit.simulation._history import AnswerReceived
from testkit.simulation._history import AttemptSent
from testkit.simulation._history import ConfigurationAccepted
from testkit.simulation._history import ConfigurationObserved
from testkit.simulation._history import EntryKilled
from testkit.simulation._history import EntryStarted
from testkit.simulation._history import EntryStopped
from testkit.simulation._history import EntrySuspended
from testkit.simulation._history import History
from testkit.simulation._history import RequestSent
from testkit.simulation._history import TargetBeganLeaving
from testkit.simulation._history import TaskStarted

# Limit of the design for the time until an entry stops sending tasks to a
# target that is leaving.
LEAVING_LIMIT_S = 3.0
# Limit of the design for the time until all entries apply a new configuration.
CONFIGURATION_LIMIT_S = 8.0
# Answers may arrive this long after the deadline, because the request crosses
# the caller's network and may be forwarded to another entry.
ANSWER_GRACE_S = 1.0


@attrs.frozen
class Violation:
    """A violation of one invariant.

    Attributes:
        invariant: "P1" to "P8", or "lost" for a request without an answer.
        detail: The events that violate it, for a person to read.
    """

    invariant: str
    detail: str


def check_history(history: History) -> list[Violation]:
    """Returns all violations of the invariants in a history."""
    return [
        *_check_single_execution(history),
        *_check_answers(history),
        *_check_refusals(history),
        *_check_leaving(history),
        *_check_replies(history),
        *_check_configuration(history),
    ]


def _check_single_execution(history: History) -> list[Violation]:
    """Checks that no task was started more than once (P1, P5)."""
    requests = {
        uid: request
        for request in history.events_of(RequestSent)
        for uid in request.task_uids
    }
    counts = collections.Counter(
        e.task_uid for e in history.events_of(TaskStarted)
    )
    return [
        Violation(
            "P1" if requests[uid].repeatable else "P5",
            f"task {uid} ran {count} times",
        )
        for uid, count in counts.items()
        if count > 1
    ]


def _final_answers(history: History) -> dict[str, list]:
    """Returns (request, answer) pairs of final answers by submission.

    Final answers are complete, failed and not-run answers.
    """
    requests = {r.request: r for r in history.events_of(RequestSent)}
    answers = collections.defaultdict(list)
    for answered in history.events_of(AnswerReceived):
        if isinstance(answered.answer, Complete | Failed | NotRun):
            request = requests[answered.request]
            answers[request.submission].append((request, answered.answer))
    return answers


def _check_answers(history: History) -> list[Violation]:
    """Checks answers for missing, foreign or conflicting results (P2, P3)."""
    violations = []
    uids_of = {
        r.submission: r.task_uids
        for r in history.events_of(RequestSent)
        if r.kind is RequestKind.SUBMIT
    }
    for submission, answers in _final_answers(history).items():
        uids = uids_of.get(submission, ())
        if len({type(answer) for _, answer in answers}) > 1:
            kinds = sorted({type(a).__name__ for _, a in answers})
            violations.append(
                Violation(
                    "P3", f"{submission} received conflicting answers {kinds}"
                )
            )
        for _, answer in answers:
            match answer:
                case Complete(results):
                    got = tuple((r or {}).get("uid") for r in results)
                    if len(got) != len(uids):
                        violations.append(
                            Violation(
                                "P2",
                                f"{submission} received {len(got)} results "
                                f"for {len(uids)} tasks",
                            )
                        )
                    elif got != uids:
                        violations.append(
                            Violation(
                                "P3",
                                f"{submission} received results of {got}, "
                                f"not of {uids}",
                            )
                        )
                case Failed(_, states):
                    is_valid = len(states) == len(uids) and not all(
                        state is TaskState.SUCCEEDED for state in states
                    )
                    if not is_valid:
                        violations.append(
                            Violation(
                                "P2",
                                f"{submission} failed with the states "
                                f"{states} for {len(uids)} tasks; one for "
                                "each task and a failed one are required",
                            )
                        )
    return violations


def _check_refusals(history: History) -> list[Violation]:
    """Checks that tasks that were reported as not run never ran (P4)."""
    executed = {event.task_uid for event in history.events_of(TaskStarted)}
    uids_of = {
        r.submission: r.task_uids
        for r in history.events_of(RequestSent)
        if r.kind is RequestKind.SUBMIT
    }
    violations = []
    for submission, answers in _final_answers(history).items():
        uids = uids_of.get(submission, ())
        for _, answer in answers:
            match answer:
                case NotRun():
                    not_run = set(uids)
                case Failed(_, states):
                    not_run = {
                        uid
                        for uid, state in zip(uids, states, strict=False)
                        if state is TaskState.NOT_RUN
                    }
                case _:
                    not_run = set()
            for uid in sorted(not_run & executed):
                violations.append(
                    Violation("P4", f"{uid} ran but was reported as not run")
                )
    return violations


def _earliest_notice_times(history: History, target: str) -> dict[str, float]:
    """Returns when each process can first learn that a target is leaving.

    A process that starts while no other entry is alive can learn it only from
    the platform, or from the target itself when that refuses a task.
    """
    signalled_at = [
        e.at
        for e in history.events_of(TargetBeganLeaving)
        if e.target == target
    ]
    notice_times = {}
    for started in history.events_of(EntryStarted):
        later = [at for at in signalled_at if at >= started.at]
        notice_times[started.entry] = max(signalled_at[0], started.at)
        if not started.peers and later:
            notice_times[started.entry] = later[0]
    return notice_times


def _check_leaving(history: History) -> list[Violation]:
    """Checks that leaving targets receive no tasks after the limit (P6)."""
    left = {event.target for event in history.events_of(TargetBeganLeaving)}
    notice_times = {
        target: _earliest_notice_times(history, target) for target in left
    }
    suspensions = history.events_of(EntrySuspended)
    violations = []
    for sent in history.events_of(AttemptSent):
        if sent.target not in left:
            continue
        notice_at = notice_times[sent.target][sent.entry]
        if sent.at <= notice_at + LEAVING_LIMIT_S:
            continue
        # A suspended or partitioned entry cannot learn that the target is
        # leaving, so its limit starts at the end of the suspension or
        # partition.
        excused = any(
            f.entry == sent.entry
            and f.at < sent.at
            and f.until > notice_at
            and sent.at <= f.until + LEAVING_LIMIT_S
            for f in suspensions
        ) or any(
            until > notice_at
            and start < sent.at
            and sent.at <= until + LEAVING_LIMIT_S
            for _, start, until in history.partitions
        )
        if not excused:
            violations.append(
                Violation(
                    "P6",
                    f"{sent.entry} sent {sent.attempt} to {sent.target} "
                    f"{sent.at - notice_at:.2f} s after it could know that "
                    f"the target was leaving; at most {LEAVING_LIMIT_S} s "
                    "are allowed",
                )
            )
    return violations


def _check_replies(history: History) -> list[Violation]:
    """Checks that every request was answered in time (P7, "lost").

    Requests to an entry that was killed before they were due are exempt.
    """
    killed_at = {
        event.entry: event.at for event in history.events_of(EntryKilled)
    }
    stopped_at = {
        event.entry: event.at for event in history.events_of(EntryStopped)
    }
    suspensions = collections.defaultdict(list)
    for event in history.events_of(EntrySuspended):
        suspensions[event.entry].append(event)
    answered = {
        event.request: event.at for event in history.events_of(AnswerReceived)
    }
    violations = []
    for request in history.events_of(RequestSent):
        due = request.deadline + ANSWER_GRACE_S
        for pause in suspensions[request.entry]:
            # Deadlines are relative to when a process reads the request. A
            # suspended process reads it only after it resumes, so the whole
            # deadline applies again from then.
            if pause.at <= due and pause.until >= request.at:
                allowed = request.deadline - request.at + ANSWER_GRACE_S
                due = max(due, pause.until + allowed)
        at = answered.get(request.request)
        if at is not None and at <= due:
            continue
        if due > history.ended_at:
            continue
        if request.entry in killed_at and killed_at[request.entry] <= due:
            continue
        was_stopped = request.entry in stopped_at
        violations.append(
            Violation(
                "P7" if was_stopped else "lost",
                f"request {request.request} to {request.entry} sent at "
                f"{request.at:.3f} answered at {at}, due {due:.3f}",
            )
        )
    return violations


def _check_configuration(history: History) -> list[Violation]:
    """Checks the order and the spread of configuration versions (P8)."""
    violations = []
    in_force: dict[str, int] = {}
    for event in history.events_of(ConfigurationObserved):
        before = in_force.get(event.incarnation, 0)
        if event.version < before:
            violations.append(
                Violation(
                    "P8",
                    f"{event.entry} went back from configuration {before} "
                    f"to {event.version}",
                )
            )
        in_force[event.incarnation] = event.version
    accepted = history.events_of(ConfigurationAccepted)
    if not accepted:
        return violations
    newest = accepted[-1]
    settled_at = max(
        [newest.at]
        + [until for _, _, until in history.partitions]
        + [event.until for event in history.events_of(EntrySuspended)]
    )
    if settled_at + CONFIGURATION_LIMIT_S <= history.ended_at:
        for entry, version in sorted(history.versions_at_end.items()):
            if version != newest.version:
                violations.append(
                    Violation(
                        "P8",
                        f"{entry} has configuration {version} in force, not "
                        f"{newest.version}",
                    )
                )
    return violations
