"""Tests of targets that accept tasks and never respond."""

from anvilford import model
from anvilford.scheduling.tests import test_dispatcher as shared
from testkit import function_tests

load_tests = function_tests(__name__)

TIMEOUT = model.AttemptUnknown(model.UnknownAttemptReason.TIMEOUT)


def test_hanging_targets_are_ejected_after_the_deadline(case):
    """A target whose attempts time out after the deadline is ejected.

    The jobs are already answered when the attempts time out, so a dispatcher
    that ignores outcomes of answered jobs would never eject the target. Lost
    connections of answered jobs are caused by cancellation and do not count.
    """
    for outcome, ejected in ((TIMEOUT, 1), (shared.LOST, 0)):
        dispatcher = shared.make_dispatcher(3, 3)
        hanging = []
        for key in range(6):
            for start in shared.find_starts(
                dispatcher.submit(key, shared.make_job(), "c", 0.0)
            ):
                if start.target_id == "t0":
                    hanging.append(start.attempt_id)
        case.assertEqual(len(hanging), 3)
        answers = shared.find_answers(dispatcher.advance(1.0))
        case.assertEqual({type(a) for a in answers}, {model.Failed})
        for attempt_id in hanging:
            dispatcher.finish(attempt_id, outcome, 1.2)
        case.assertEqual(dispatcher.stats().ejected, ejected, outcome)
