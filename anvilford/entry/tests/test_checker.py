"""Tests that the history checker detects violations of every invariant.

Each test breaks one method of the entry and expects the checker to report the
invariant, named P1 to P8 or "lost", that this violates in a simulated run.
"""

import contextlib
import itertools
from unittest import mock

import attrs

from anvilford.configuration import ConfigurationRegister
from anvilford.entry import EntryCore
from anvilford.entry._core import JobInFlight
from anvilford.entry._drain import Drain
from anvilford.entry._requests import SubmissionRequests
from anvilford.membership import MembershipDirectory
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptUnknown
from anvilford.model import Complete
from anvilford.model import encode_answer
from anvilford.model import NotRun
from anvilford.model import NotStartedReason
from anvilford.model import RefusalReason
from anvilford.scheduling import Dispatcher
from anvilford.submissions import AdoptedRecords
from testkit import function_tests
from testkit.simulation import ApplyConfiguration
from testkit.simulation import check_history
from testkit.simulation import DrainEntry
from testkit.simulation import KillTarget
from testkit.simulation import run_scenario
from testkit.simulation import Scenario
from testkit.simulation import SuspendEntry
from testkit.simulation import TargetLeaving

load_tests = function_tests(__name__)

SEEDS = range(3)


def find_violations(faults=(), **changes):
    """Returns the invariants that are violated in any of the seeded runs."""
    scenario = Scenario(faults=faults, **changes)
    return {
        violation.invariant
        for seed in SEEDS
        for violation in check_history(run_scenario(scenario, seed))
    }


def patch(owner, name, make):
    """Returns a patch that replaces a method with `make(original)`."""
    return mock.patch.object(owner, name, make(getattr(owner, name)))


def test_running_every_resubmission_is_caught(case):
    """The checker finds P1 and P5 if an entry runs a resubmitted job again."""
    extra = itertools.count(10**6)

    def broken(original):
        def serve(self, event, now):
            effects = original(self, event, now)
            is_own = event.submission_id.owner == self.me
            if event.job is not None and is_own:
                key = next(extra)
                self.jobs[key] = JobInFlight("", "", 0, "", now)
                again = self.services.submit(key, event.job, event.caller, now)
                effects += self._translate(again)
            return effects

        return serve

    def ignore_extra(original):
        def settle(self, sequence, answer):
            return original(self, sequence, answer) if sequence < 10**6 else []

        return settle

    with (
        patch(EntryCore, "_serve", broken),
        patch(SubmissionRequests, "settle", ignore_extra),
    ):
        case.assertLessEqual({"P1", "P5"}, find_violations())


def test_retrying_unknown_attempts_is_caught(case):
    """The checker finds P1 and P5 if an unknown outcome leads to a retry."""

    def broken(original):
        def finish(self, attempt_id, outcome, now):
            if isinstance(outcome, AttemptUnknown):
                outcome = AttemptNotStarted(NotStartedReason.NOT_SENT)
            return original(self, attempt_id, outcome, now)

        return finish

    with patch(Dispatcher, "finish", broken):
        found = find_violations((KillTarget(1.0, 0), KillTarget(2.0, 1)))
    case.assertLessEqual({"P1", "P5"}, found)


def test_partial_answers_are_caught(case):
    """The checker finds P2 if a complete answer lacks the result of a task."""

    def broken(original):
        def settle(self, sequence, answer):
            if isinstance(answer, Complete):
                answer = Complete(answer.results[:-1])
            return original(self, sequence, answer)

        return settle

    with patch(SubmissionRequests, "settle", broken):
        case.assertIn("P2", find_violations())


def test_swapped_answers_are_caught(case):
    """The checker finds P3 if a caller receives the answer to another's job."""

    def broken(original):
        last = [Complete(({"uid": "another"},))]

        def settle(self, sequence, answer):
            given, last[0] = last[0], answer
            return original(self, sequence, given)

        return settle

    with patch(SubmissionRequests, "settle", broken):
        case.assertIn("P3", find_violations())


def test_false_refusals_are_caught(case):
    """The checker finds P4 if jobs of unreachable owners count as not run."""

    def broken(original):
        def unreachable(self, request_id):
            answer = encode_answer(NotRun(RefusalReason.OWNER_STOPPED))
            *counts, respond = original(self, request_id)
            return [*counts, attrs.evolve(respond, answer=answer)]

        return unreachable

    with patch(SubmissionRequests, "_unreachable", broken):
        case.assertIn("P4", find_violations((SuspendEntry(1.0, 0, 4.0),)))


def test_refusing_for_an_incomplete_handover_is_caught(case):
    """The checker finds P4 if a job without a record is reported as not run.

    The successor of a stopped entry must report its outcome as unknown instead.
    All records are dropped from the handover, which still counts as complete.
    """

    def broken(original):
        def adopt_chunk(self, chunk):
            return original(self, attrs.evolve(chunk, records=()))

        return adopt_chunk

    with patch(AdoptedRecords, "adopt_chunk", broken):
        case.assertIn(
            "P4",
            find_violations((DrainEntry(1.0, 0),), resubmit_probability=0.8),
        )


def test_work_for_leaving_targets_is_caught(case):
    """The checker finds P6 if targets that are leaving still get tasks."""

    def broken(original):
        del original
        return lambda self, vm: True

    with patch(MembershipDirectory, "accepts_work", broken):
        case.assertIn("P6", find_violations((TargetLeaving(1.0, 0, "list"),)))


def test_stopping_with_requests_in_flight_is_caught(case):
    """The checker finds P7 if a stop does not wait for open submissions."""

    def broken(original):
        def advance(self, now):
            store = self.requests.ledger.store
            with contextlib.ExitStack() as stack:
                stack.enter_context(
                    mock.patch.object(type(store), "in_flight", 0)
                )
                return original(self, now)

        return advance

    with patch(Drain, "advance", broken):
        case.assertIn("P7", find_violations((DrainEntry(1.0, 0),)))


def test_reverting_configurations_is_caught(case):
    """The checker finds P8 if an entry returns to an older configuration."""

    def broken(original):
        def apply(self, row):
            if original(self, row) and row.version > 2:
                self.row = attrs.evolve(row, version=1)
            return True

        return apply

    faults = (
        ApplyConfiguration(1.0, "peak"),
        ApplyConfiguration(2.0, "ordinary"),
    )
    with patch(ConfigurationRegister, "apply", broken):
        case.assertIn("P8", find_violations(faults))


def test_configurations_that_do_not_spread_are_caught(case):
    """The checker finds P8 if an entry ignores newer configurations."""

    def broken(original):
        def apply(self, row):
            return False if self.version else original(self, row)

        return apply

    with patch(ConfigurationRegister, "apply", broken):
        case.assertIn("P8", find_violations((ApplyConfiguration(1.0, "peak"),)))


def test_lost_answers_are_caught(case):
    """Lost: an entry drops the waiters of a job and never answers them."""

    def broken(original):
        def settle(self, sequence, answer):
            self.waiters.pop(sequence, None)
            return original(self, sequence, answer)

        return settle

    with patch(SubmissionRequests, "settle", broken):
        case.assertIn("lost", find_violations())


def test_late_answers_are_caught(case):
    """Lost: a forward to a frozen owner stays open past the caller's deadline.

    The entry neither expires forwards nor handles calls that fail.
    """

    def broken(original):
        def advance(self, now):
            return [] if self.forwards else original(self, now)

        return advance

    def never_fail(original):
        def receive_reply(self, call, message):
            return original(self, call, message) if message else []

        return receive_reply

    with (
        patch(SubmissionRequests, "advance", broken),
        patch(SubmissionRequests, "receive_reply", never_fail),
        patch(SubmissionRequests, "next_wakeup", lambda _: lambda self: None),
    ):
        case.assertIn("lost", find_violations((SuspendEntry(1.0, 0, 5.0),)))
