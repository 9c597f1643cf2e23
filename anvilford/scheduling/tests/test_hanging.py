"""Tests of targets that take tasks and never answer."""

from anvilford import model
from anvilford.scheduling.tests import test_dispatcher as shared
from testkit import function_tests

load_tests = function_tests(__name__)

TIMEOUT = model.AttemptUnknown(model.UnknownAttemptReason.TIMEOUT)


def test_hanging_targets_are_ejected_after_the_deadline(case):
    """Guards against a target whose silence shows only in answered jobs."""
    for outcome, ejected in ((TIMEOUT, 1), (shared.LOST, 0)):
        dispatcher = shared.make(3, 3)
        hanging = []
        for key in range(6):
            for start in shared.starts(
                dispatcher.submit(key, shared.job(), "c", 0.0)
            ):
                if start.target_id == "t0":
                    hanging.append(start.attempt_id)
        case.assertEqual(len(hanging), 3)
        answers = shared.answers(dispatcher.advance(1.0))
        case.assertEqual({type(a) for a in answers}, {model.Failed})
        for attempt_id in hanging:
            dispatcher.finish(attempt_id, outcome, 1.2)
        case.assertEqual(dispatcher.stats().ejected, ejected, outcome)
