"""Tests of `EntryCore`: single events and the effects that they cause."""

import json
import random

import attrs

from anvilford.entry import AttemptFinished
from anvilford.entry import CallPeer
from anvilford.entry import ConfigurationReceived
from anvilford.entry import CoreOptions
from anvilford.entry import EntryCore
from anvilford.entry import PeerFailed
from anvilford.entry import PeerMessage
from anvilford.entry import Respond
from anvilford.entry import RunAttempt
from anvilford.entry import SubmissionRequested
from anvilford.entry import Tick
from anvilford.entry import VmListReceived
from anvilford.entry._marks import MarkStore
from anvilford.entry._marks import MAX_STORED_MARKS
from anvilford.membership import MembershipDirectory
from anvilford.model import AttemptSucceeded
from anvilford.model import Complete
from anvilford.model import decode_answer
from anvilford.model import Incarnation
from anvilford.model import NotRun
from anvilford.model import parse_job
from anvilford.model import RefusalReason
from anvilford.protocol import EntryInfo
from anvilford.protocol import Gossip
from anvilford.protocol import Mark
from anvilford.protocol import RequestKind
from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

ME = Incarnation("z", "10.0.0.1:7100", "a1")
PEER = Incarnation("z", "10.0.0.2:7100", "b2")
TARGET = VmInfo("t1", VmRole.TARGET, "z", "10.1.0.1:1", "seal", VmState.LIVE)


def build_configuration_row(document, version=1):
    """Builds a configuration row as the platform returns it."""
    entry = {
        "version": version,
        "operation": f"op{version}",
        "author": "ana",
        "preset": document["preset"],
    }
    return {
        "document": document,
        "operation": entry["operation"],
        "author": "ana",
        "history": [entry],
    }


def configure(core, now=0.0, version=1, **document):
    """Applies a configuration and returns the effects."""
    document = {"preset": "ordinary"} | document
    event = ConfigurationReceived(
        version, build_configuration_row(document, version)
    )
    return core.handle(event, now)


def build_submission(
    core, submission_id, count=1, caller="line-1", service="seal"
):
    """Builds the event of a submitted job with `count` tasks."""
    del core
    body = json.dumps(
        {
            "service": service,
            "deadline_ms": 1000,
            "tasks": [{"operation": "check"}] * count,
        }
    ).encode()
    return SubmissionRequested(
        f"r-{submission_id.sequence}",
        caller,
        submission_id,
        RequestKind.SUBMIT,
        parse_job(body).ok,
        body,
        1000,
    )


def decode_answers(effects):
    """Returns the decoded answers among the effects."""
    return [decode_answer(e.answer) for e in effects if isinstance(e, Respond)]


@fixture
def core():
    """Provides an entry with one target and a configuration in force."""
    core = EntryCore(ME, b"key", CoreOptions(), random.Random(1), 0.0)
    core.handle(VmListReceived(1, (TARGET,)), 0.0)
    configure(core, quotas={"line-2": 2})
    yield core


def test_a_job_runs_and_is_answered(case, core):
    """Guards against a job that is not started, or answered other than once.

    Follows one job from its submission to the attempt, the outcome and the
    answer. A second report of the same outcome must not cause another answer.
    """
    sid = core.issue_ids("line-1", 1)[0]
    effects = core.handle(build_submission(core, sid), 0.1)
    (start,) = (e.start for e in effects if isinstance(e, RunAttempt))
    finished = AttemptFinished(start.attempt_id, "t1", AttemptSucceeded(7))
    case.assertEqual(
        decode_answers(core.handle(finished, 0.2)), [Complete((7,))]
    )
    case.assertEqual(decode_answers(core.handle(finished, 0.3)), [])


def test_quotas_refuse_truthfully_and_recover(case, core):
    """Guards against quotas that are exceeded or not released.

    With two tasks in progress and a quota of two, a third task is refused
    without an attempt. Once the two are finished, two more are accepted.
    """
    first, second, third = core.issue_ids("line-2", 3)
    effects = core.handle(build_submission(core, first, 2, "line-2"), 0.1)
    starts = [e.start for e in effects if isinstance(e, RunAttempt)]
    refused = core.handle(build_submission(core, second, 1, "line-2"), 0.2)
    (answer,) = decode_answers(refused)
    case.assertEqual(answer.reason, RefusalReason.QUOTA)
    case.assertFalse([e for e in refused if isinstance(e, RunAttempt)])
    for start in starts:
        outcome = AttemptSucceeded(1)
        core.handle(AttemptFinished(start.attempt_id, "t1", outcome), 0.3)
    accepted = core.handle(build_submission(core, third, 2, "line-2"), 0.4)
    case.assertEqual(decode_answers(accepted), [])


def test_refusals_are_final_for_their_id(case, core):
    """Guards against a job that runs after its submission id was refused.

    The entry refuses a job during maintenance. When the same submission
    arrives again after maintenance, it must get the same answer.
    """
    configure(core, 0.1, 2, preset="maintenance")
    sid = core.issue_ids("line-1", 1)[0]
    (first,) = decode_answers(core.handle(build_submission(core, sid), 0.2))
    case.assertIsInstance(first, NotRun)
    configure(core, 0.3, 3)
    (second,) = decode_answers(core.handle(build_submission(core, sid), 0.4))
    case.assertEqual(second, first)
    retry = core.handle(
        SubmissionRequested(
            "retry",
            "line-1",
            core.issue_ids("line-1", 1)[0],
            RequestKind.STATUS,
        ),
        0.5,
    )
    case.assertEqual(len(decode_answers(retry)), 1)
    case.assertTrue(first.retry_id)


def test_unknown_services_are_refused(case, core):
    """Guards against a job that runs on targets of another service.

    The entry has targets for "seal" only; a job for "orders" must be refused.
    """
    sid = core.issue_ids("line-1", 1)[0]
    request = build_submission(core, sid, service="orders")
    (answer,) = decode_answers(core.handle(request, 0.1))
    case.assertEqual(answer.reason, RefusalReason.UNKNOWN_SERVICE)


def test_a_fresh_entry_waits_for_a_configuration(case):
    """Guards against a new entry that serves without a configuration."""
    core = EntryCore(ME, b"key", CoreOptions(), random.Random(1), 0.0)
    core.handle(Tick(), 5.0)
    case.assertFalse(core.is_ready(5.0))
    configure(core, 5.0)
    case.assertTrue(core.is_ready(5.0))


def test_a_newer_configuration_is_fetched_from_a_peer(case, core):
    """Guards against an old configuration in a zone cut off from the platform.

    Such an entry hears of a newer version by gossip and must request it from
    the peer that has it.
    """
    info = EntryInfo(PEER, 1, 1.0, False, 7)
    gossip = Gossip(PEER.address, (info,), b"")
    effects = core.handle(PeerMessage(PEER, gossip), 0.1)
    calls = [e.address for e in effects if isinstance(e, CallPeer)]
    case.assertEqual(calls, [PEER.address])


def test_failed_configuration_calls_are_not_repeated_at_once(case, core):
    """Guards against a busy loop when the peer with a newer version is down.

    Every call fails at once. At most seven may start, since calls follow each
    other after 0.5 s and the peer becomes suspect after 3 s.
    """
    info = EntryInfo(PEER, 1, 1.0, False, 7)
    gossip = Gossip(PEER.address, (info,), b"")
    effects = core.handle(PeerMessage(PEER, gossip), 0.1)
    calls = []
    for step in range(50):
        asked = [e.call for e in effects if isinstance(e, CallPeer)]
        calls += asked
        now = 0.1 + step * 0.1
        effects = []
        for call in asked:
            effects += core.handle(PeerFailed(call), now)
        effects += core.handle(Tick(), now)
    case.assertLessEqual(len(calls), 7)
    case.assertGreaterEqual(len(calls), 3)


def test_more_marks_than_are_stored_are_written_once(case):
    """Guards against a row of marks that is rewritten at every read.

    More marks are known than the row may hold. Once it holds the newest
    `MAX_STORED_MARKS`, it is up to date; if one of those is missing, the row
    is written again.
    """
    directory = MembershipDirectory()
    for number in range(MAX_STORED_MARKS + 5):
        vm = attrs.evolve(TARGET, vm_id=f"t{number}")
        directory.merge_vm(vm, 0.0)
        directory.merge_mark(Mark(vm.vm_id, True, number, "a1"))
    store = MarkStore(directory)
    (write,) = store.reconcile(0, ())
    case.assertEqual(len(write.marks), MAX_STORED_MARKS)
    case.assertEqual(store.reconcile(1, write.marks), [])
    case.assertTrue(store.is_stored)
    case.assertEqual(len(store.reconcile(2, write.marks[1:])), 1)


def test_more_entries_than_connections_allow_stay_out(case):
    """Guards against a target with more than 64 connections.

    The connections of a target are split among a fixed number of entries, so
    an entry that starts in addition to these must not become ready until one
    of them is gone.
    """
    core = EntryCore(ME, b"key", CoreOptions(), random.Random(1), 0.0)
    others = tuple(
        EntryInfo(
            Incarnation("z", f"10.0.0.{n}:7100", f"t{n}"), 1, 1.0, False, 1
        )
        for n in range(2, 6)
    )
    gossip = Gossip(PEER.address, others, b"")
    core.handle(PeerMessage(PEER, gossip), 0.1)
    configure(core, 0.2)
    case.assertFalse(core.is_ready(0.3))
    case.assertTrue(core.is_ready(10.0))
