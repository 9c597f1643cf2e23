"""Tests for the submission records and for their handover."""

import hypothesis
from hypothesis import strategies

from anvilford.model import Complete
from anvilford.model import Conflict
from anvilford.model import encode_answer
from anvilford.model import Expired
from anvilford.model import Incarnation
from anvilford.model import NeverIssued
from anvilford.model import NotRun
from anvilford.model import OutcomeUnknown
from anvilford.model import RefusalReason
from anvilford.model import SubmissionId
from anvilford.model import UnknownId
from anvilford.model import UnknownReason
from anvilford.protocol import HandoverSeal
from anvilford.submissions import Accepted
from anvilford.submissions import AdoptedRecords
from anvilford.submissions import Finished
from anvilford.submissions import handover_chunks
from anvilford.submissions import InFlight
from anvilford.submissions import Ledger
from anvilford.submissions import Rejected
from anvilford.submissions import RetentionLimits
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

OWNER = Incarnation("quimper-a", "10.0.0.1:7100", "a1")
ANSWER = encode_answer(Complete(({"ok": True},)))
SMALL = RetentionLimits(max_records=3, max_bytes=10_000)


@fixture
def ledger():
    """A ledger that keeps at most three finished records."""
    yield Ledger(OWNER, b"key", SMALL)


def seal_of(ledger, **changes):
    """Returns the final message of a complete handover, with `changes`."""
    values = {
        "owner": OWNER,
        "floor": ledger.store.floor,
        "next_sequence": ledger.store.next_sequence,
        "tag_key": ledger.tag_key,
        "counter": 1,
        "complete": True,
    }
    return HandoverSeal(**(values | changes))


def adopt_records(ledger, **changes):
    """Returns the records of a successor after the handover of a ledger."""
    adopted_records = AdoptedRecords(SMALL)
    for chunk in handover_chunks(OWNER, ledger.store):
        adopted_records.adopt_chunk(chunk)
    adopted_records.adopt_seal(seal_of(ledger, **changes))
    return adopted_records


def test_id_is_accepted_once(ledger):
    """Submitting an id again must not start its job a second time.

    Callers resubmit a job when its answer is lost.
    """
    sid = ledger.issue("line-1")[0]
    assert ledger.submit(sid, "line-1", "d") == Accepted()
    assert ledger.submit(sid, "line-1", "d") == InFlight()
    ledger.settle(sid.sequence, ANSWER)
    assert ledger.submit(sid, "line-1", "d") == Finished(ANSWER)
    assert ledger.submit(sid, "line-1", "e") == Rejected(Conflict())


def test_ids_are_bound_to_their_caller(ledger):
    """A caller must not be able to read or use the id of another caller.

    A tag of another caller, a forged tag and a tag that is not valid UTF-8
    are all rejected.
    """
    sid = ledger.issue("line-1")[0]
    forged = SubmissionId(OWNER, sid.sequence, "0" * len(sid.tag))
    foreign = SubmissionId(OWNER, sid.sequence, "\ud800")
    assert ledger.submit(sid, "line-2", "d") == Rejected(UnknownId())
    assert ledger.submit(forged, "line-1", "d") == Rejected(UnknownId())
    assert ledger.lookup(foreign, "line-1") == Rejected(UnknownId())


def test_ids_that_were_not_issued_are_rejected(ledger):
    """An id that was not issued yet must be rejected despite a valid tag."""
    future = Ledger(OWNER, b"key", SMALL)
    sid = future.issue("line-1", 5)[4]
    assert ledger.submit(sid, "line-1", "d") == Rejected(NeverIssued())


def test_cancelled_unused_ids_never_run(ledger):
    """An id that was cancelled before its submission must never run.

    The submission may be delayed in the network and arrive after the cancel
    was confirmed.
    """
    sid = ledger.issue("line-1")[0]
    refusal = encode_answer(NotRun(RefusalReason.CANCELLED))
    ledger.close_unused(sid, "line-1", refusal)
    assert ledger.submit(sid, "line-1", "d") == Finished(refusal)


def test_a_job_finishing_below_the_floor_keeps_its_answer(ledger):
    """The answer of a job slower than many newer ones must be kept.

    Evicting the newer records raises the floor above the id of the slow job,
    which is still in flight.
    """
    slow, *others = ledger.issue("line-1", 6)
    ledger.submit(slow, "line-1", "d")
    for sid in others:
        ledger.submit(sid, "line-1", "d")
        ledger.settle(sid.sequence, ANSWER)
    assert ledger.store.floor > slow.sequence
    ledger.settle(slow.sequence, ANSWER)
    assert ledger.lookup(slow, "line-1") == Finished(ANSWER)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["submit", "settle", "close"]),
            strategies.integers(0, 11),
        ),
        max_size=60,
    )
)
def check_retention(steps):
    """Applies random operations and checks that no id is accepted twice."""
    ledger = Ledger(OWNER, b"key", SMALL)
    ids = ledger.issue("line-1", 12)
    accepted = set()
    closed = set()
    for step, index in steps:
        sid = ids[index]
        record = ledger.store.records.get(index)
        if step == "submit":
            if ledger.submit(sid, "line-1", "d") == Accepted():
                assert index not in accepted | closed
                accepted.add(index)
        elif step == "settle" and record and record.answer is None:
            ledger.settle(index, ANSWER)
        elif (
            step == "close" and record is None and index >= (ledger.store.floor)
        ):
            ledger.close_unused(sid, "line-1", ANSWER)
            closed.add(index)
        finished = ledger.store.finished_sequences
        assert len(finished) <= SMALL.max_records
        assert ledger.store.retained_bytes == sum(
            ledger.store.records[s].retained_bytes() for s in finished
        )


def test_retention_never_reopens_an_id():
    """The id of an evicted record must not be accepted again."""
    check_retention()


def test_byte_limit_evicts_records(ledger):
    """The oldest records must be evicted when the byte limit is exceeded.

    Without the limit, large answers fill the memory although the number of
    records is small.
    """
    large = encode_answer(Complete(("x" * 6000,)))
    ids = ledger.issue("line-1", 2)
    for sid in ids:
        ledger.submit(sid, "line-1", "d")
        ledger.settle(sid.sequence, large)
    assert ledger.lookup(ids[0], "line-1") == Rejected(Expired())
    assert ledger.lookup(ids[1], "line-1") == Finished(large)


def test_successor_answers_like_the_owner(ledger):
    """A successor must answer as the stopped daemon would have answered.

    Otherwise a planned stop changes the answers that callers get.
    """
    done, unused = ledger.issue("line-1", 2)
    ledger.submit(done, "line-1", "d")
    ledger.settle(done.sequence, ANSWER)
    adopted_records = adopt_records(ledger)
    future = SubmissionId(OWNER, 9, "")
    assert adopted_records.answer(done, "line-1", "d") == Finished(ANSWER)
    assert adopted_records.answer(done, "line-1", "e") == Conflict()
    assert adopted_records.answer(done, "line-2", "d") == UnknownId()
    assert adopted_records.answer(future, "line-1", "d") == UnknownId()
    refusal = NotRun(RefusalReason.OWNER_STOPPED)
    assert adopted_records.answer(unused, "line-1", "d") == refusal


def test_incomplete_handovers_never_answer_not_run(ledger):
    """A successor that lacks records must not answer that a job did not run.

    The job may have run under a record that was not handed over.
    """
    sid = ledger.issue("line-1")[0]
    unknown = OutcomeUnknown(UnknownReason.HANDOVER_INCOMPLETE)
    unsealed = AdoptedRecords(SMALL)
    for chunk in handover_chunks(OWNER, ledger.store):
        unsealed.adopt_chunk(chunk)
    assert unsealed.answer(sid, "line-1", "d") is None
    partial = adopt_records(ledger, complete=False)
    assert partial.answer(sid, "line-1", "d") == unknown


def test_byte_limit_applies_to_all_adopted_records():
    """The byte limit must hold for the records of all stopped daemons together.

    With a limit for each daemon only, memory grows with every replacement.
    """
    adopted_records = AdoptedRecords(
        RetentionLimits(max_records=10, max_bytes=10_000)
    )
    large = encode_answer(Complete(("x" * 4000,)))
    for number in range(5):
        owner = Incarnation("quimper-a", f"10.0.0.{number}:7100", f"a{number}")
        stopped = Ledger(owner, b"key", SMALL)
        sid = stopped.issue("line-1")[0]
        stopped.submit(sid, "line-1", "d")
        stopped.settle(sid.sequence, large)
        for chunk in handover_chunks(owner, stopped.store):
            adopted_records.adopt_chunk(chunk)
        adopted_records.adopt_seal(seal_of(stopped, owner=owner))
        assert adopted_records.retained_bytes <= 10_000
        assert adopted_records.answer(sid, "line-1", "d") == Finished(large)
    assert len(adopted_records.owners) == 2


def test_records_evicted_by_the_successor_are_expired(ledger):
    """A record that the successor evicted must be answered as expired.

    If the floor of the successor did not rise, it would answer that the job did
    not run.
    """
    ids = ledger.issue("line-1", 3)
    for sid in ids:
        ledger.submit(sid, "line-1", "d")
        ledger.settle(sid.sequence, ANSWER)
    adopted_records = AdoptedRecords(
        RetentionLimits(max_records=1, max_bytes=10_000)
    )
    for chunk in handover_chunks(OWNER, ledger.store):
        adopted_records.adopt_chunk(chunk)
    adopted_records.adopt_seal(seal_of(ledger))
    assert adopted_records.answer(ids[0], "line-1", "d") == Expired()
    assert adopted_records.answer(ids[2], "line-1", "d") == Finished(ANSWER)
