"""Checks a history against the invariants of the design page."""

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

# Limits of the design page, in seconds.
LEAVING_LIMIT_S = 3.0
CONFIGURATION_LIMIT_S = 8.0
# Allowed beyond the deadline for the caller's network and a forward.
ANSWER_GRACE_S = 1.0


@attrs.frozen
class Violation:
    """One broken invariant.

    Attributes:
        invariant: "P1" to "P8", or "lost" for a request without an answer.
        detail: What was seen.
    """

    invariant: str
    detail: str


def check_history(history: History) -> list[Violation]:
    """Returns every violation found in a history."""
    return [
        *_check_single_execution(history),
        *_check_answers(history),
        *_check_refusals(history),
        *_check_leaving(history),
        *_check_replies(history),
        *_check_configuration(history),
    ]


def _check_single_execution(history: History) -> list[Violation]:
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
    """Complete, failed and not-run answers by submission."""
    requests = {r.request: r for r in history.events_of(RequestSent)}
    answers = collections.defaultdict(list)
    for answered in history.events_of(AnswerReceived):
        if isinstance(answered.answer, Complete | Failed | NotRun):
            request = requests[answered.request]
            answers[request.submission].append((request, answered.answer))
    return answers


def _check_answers(history: History) -> list[Violation]:
    """Checks that answers are whole and those of their own submission."""
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
                Violation("P3", f"{submission} was answered {kinds}")
            )
        for _, answer in answers:
            match answer:
                case Complete(results):
                    got = tuple((r or {}).get("uid") for r in results)
                    if len(got) != len(uids):
                        violations.append(
                            Violation("P2", f"{submission} is partial")
                        )
                    elif got != uids:
                        violations.append(
                            Violation("P3", f"{submission} got {got}")
                        )
                case Failed(_, states):
                    whole = len(states) == len(uids) and not all(
                        state is TaskState.SUCCEEDED for state in states
                    )
                    if not whole:
                        violations.append(
                            Violation("P2", f"{submission} says {states}")
                        )
    return violations


def _check_refusals(history: History) -> list[Violation]:
    """Checks that what was reported as not run never ran."""
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
                    Violation("P4", f"{uid} ran but was reported not run")
                )
    return violations


def _told_at(history: History, target: str) -> dict[str, float]:
    """Time from which each process can know that a target leaves.

    A process that starts while no other entry lives can be told only by the
    platform, or by the target itself when it refuses a task.
    """
    signs = [
        e.at
        for e in history.events_of(TargetBeganLeaving)
        if e.target == target
    ]
    told = {}
    for started in history.events_of(EntryStarted):
        later = [at for at in signs if at >= started.at]
        told[started.entry] = max(signs[0], started.at)
        if not started.peers and later:
            told[started.entry] = later[0]
    return told


def _check_leaving(history: History) -> list[Violation]:
    left = {event.target for event in history.events_of(TargetBeganLeaving)}
    told = {target: _told_at(history, target) for target in left}
    frozen = history.events_of(EntrySuspended)
    violations = []
    for sent in history.events_of(AttemptSent):
        if sent.target not in left:
            continue
        since = told[sent.target][sent.entry]
        if sent.at <= since + LEAVING_LIMIT_S:
            continue
        # An entry that could not be told within the limit is excused until it
        # could have been told for that long.
        excused = any(
            f.entry == sent.entry
            and f.at < sent.at
            and f.until > since
            and sent.at <= f.until + LEAVING_LIMIT_S
            for f in frozen
        ) or any(
            until > since
            and start < sent.at
            and sent.at <= until + LEAVING_LIMIT_S
            for _, start, until in history.partitions
        )
        if not excused:
            violations.append(
                Violation(
                    "P6",
                    f"{sent.entry} sent {sent.attempt} to {sent.target} "
                    f"{sent.at - since:.2f} s after it began to leave",
                )
            )
    return violations


def _check_replies(history: History) -> list[Violation]:
    """Checks that every request had an answer in time, unless excused."""
    died = {event.entry: event.at for event in history.events_of(EntryKilled)}
    stopped = {
        event.entry: event.at for event in history.events_of(EntryStopped)
    }
    frozen = collections.defaultdict(list)
    for event in history.events_of(EntrySuspended):
        frozen[event.entry].append(event)
    answered = {
        event.request: event.at for event in history.events_of(AnswerReceived)
    }
    violations = []
    for request in history.events_of(RequestSent):
        due = request.deadline + ANSWER_GRACE_S
        for pause in frozen[request.entry]:
            # Deadlines are relative, and a suspended process reads a request
            # only after it wakes, so the caller's time starts again then.
            if pause.at <= due and pause.until >= request.at:
                allowed = request.deadline - request.at + ANSWER_GRACE_S
                due = max(due, pause.until + allowed)
        at = answered.get(request.request)
        if at is not None and at <= due:
            continue
        if due > history.ended_at:
            continue
        if request.entry in died and died[request.entry] <= due:
            continue
        is_cut_off = request.entry in stopped
        violations.append(
            Violation(
                "P7" if is_cut_off else "lost",
                f"request {request.request} to {request.entry} sent at "
                f"{request.at:.3f} answered at {at}, due {due:.3f}",
            )
        )
    return violations


def _check_configuration(history: History) -> list[Violation]:
    violations = []
    in_force: dict[str, int] = {}
    for event in history.events_of(ConfigurationObserved):
        before = in_force.get(event.incarnation, 0)
        if event.version < before:
            violations.append(
                Violation(
                    "P8",
                    f"{event.entry} went from {before} to {event.version}",
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
                        f"{entry} has {version} in force, not {newest.version}",
                    )
                )
    return violations
