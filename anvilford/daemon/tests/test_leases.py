"""Tests of the leases of tasks."""

import asyncio
from unittest import mock

from anvilford.daemon._runtime import EntryRuntime
from testkit import function_tests

load_tests = function_tests(__name__)


def test_lease_ends_before_the_deadline(case):
    """Guards against a job that fails in the moment of its deadline.

    The target ended the task as its lease was over, and its answer was read
    before the timer of the deadline, on a busy machine.
    """
    runtime = mock.MagicMock(spec=EntryRuntime)
    runtime.loop = mock.Mock(time=lambda: 100.0)
    runtime.tracing = mock.MagicMock()
    runtime.counters = mock.Mock()
    runtime.target_client = mock.Mock(
        start=mock.AsyncMock(), settings=mock.Mock(grace_ms=200)
    )
    effect = mock.Mock()
    effect.start.deadline = 100.2
    asyncio.run(EntryRuntime._run_attempt(runtime, effect))
    _, lease_ms, _ = runtime.target_client.start.call_args.args
    case.assertGreater(lease_ms, 350)
    case.assertLessEqual(lease_ms, 400)
