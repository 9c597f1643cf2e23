"""Tests of cancellations, with doubles of the leader and of other entries."""

import asyncio
from unittest import mock

from expression import Error
from expression import Ok

from anvilford.http1 import Request
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerRequestHandler
from anvilford.node._cancellations import CANCEL_WAIT_S
from anvilford.node._cancellations import UNKNOWN_SETTLES_S
from anvilford.node._job_reports import CANCELLED_RETENTION_S
from anvilford.node._job_reports import JobReports
from anvilford.node._job_reports import MAX_CANCELLED_JOBS
from anvilford.node._unanswered import UnansweredJobs
from anvilford.node.tests.test_coordination import coordinator
from anvilford.node.tests.test_coordination import LOCAL_MEMBER
from anvilford.node.tests.test_coordination import LOST_LEADER
from anvilford.node.tests.test_coordination import OTHER_MEMBER
from anvilford.peers import PeerLost
from anvilford.placement import CANCELED_OUTCOME
from anvilford.placement import CancelResult
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import job
from anvilford.protocol import CancelJob
from anvilford.protocol import CancelJobReply
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.routing import RequestLimits
from anvilford.routing import Route
from anvilford.routing import RoutingTable
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["coordinator", "load_tests"]

JOB_ID = "00000000000000a1"
LEADER = Leader(2, Member("entry-9", "a", "127.0.0.1:9", 2.0, "t9"))
TABLE = RoutingTable.build(
    7, [Route("queue.example", "/jobs/", CHECK.policy)], RequestLimits()
)


class Entry:
    """An entry that follows a leader which gives prepared answers.

    Attributes:
        coordinator: Double of the coordinator.
        asked: Messages that were sent to the leader.
        handler: Handler of callers' requests.
        cancellations: The cancellations under test.
    """

    def __init__(self, results=(), **attributes):
        self.results = list(results)
        self.asked = []
        self.coordinator = mock.Mock(
            **{
                "leader": LEADER,
                "driver": None,
                "local_member": LOCAL_MEMBER,
                "leader_is_unresponsive": False,
                "leader_accepts_cancellations": True,
                "leader_hears_site": True,
                "wait_for_leader_change": asyncio.sleep,
                "job_reports": JobReports(),
                "unanswered_jobs": UnansweredJobs(),
                "term": 2,
                **attributes,
            }
        )
        self.handler = CallerRequestHandler(
            LOCAL_MEMBER.name,
            mock.Mock(routing_table=TABLE),
            self.coordinator,
            mock.Mock(call=self.call),
            Counters(),
        )
        self.cancellations = self.handler.cancellations

    async def call(self, address, message, timeout):
        """Gives the next answer; the last one again and again."""
        del address, timeout
        self.asked.append(message)
        result = self.results.pop(0) if self.results[1:] else self.results[0]
        if isinstance(result, CancelResult):
            return Ok(CancelJobReply(result))
        return result

    async def request(self, method, job_id=JOB_ID):
        """Sends a request of a caller; returns its status and body."""
        request = mock.Mock(
            spec=Request,
            method=method,
            target="/jobs/" + job_id,
            headers={"host": "queue.example"},
            arrived_at=clock.now(),
            disconnected=asyncio.Future(),
        )
        with mock.patch(
            "anvilford.node._callers.decode_job", return_value=job().spec
        ):
            response = await self.handler.handle(request)
        return response.status, response.body


def cancel(entry: Entry, is_waiting: bool = False) -> tuple:
    """Cancels a job; returns the result and the elapsed seconds.

    Args:
        entry: The entry that gets the cancellation.
        is_waiting: Whether a request for the job waits there.
    """

    async def scenario():
        started_at = clock.now()
        if is_waiting:
            with entry.handler.withdrawals.request_in_progress(JOB_ID):
                result = await entry.cancellations.cancel(JOB_ID)
        else:
            result = await entry.cancellations.cancel(JOB_ID)
        return result, clock.now() - started_at

    return asyncio.run(scenario())


def test_answer_of_the_leader_is_passed_on(case):
    """Guards against acknowledgements that the leader has not given."""
    for result in (CancelResult.CANCELED, CancelResult.ENDED):
        entry = Entry([result])
        case.assertIs(cancel(entry)[0], result)
        case.assertEqual(entry.asked, [CancelJob(JOB_ID)])
        is_reported = result is CancelResult.CANCELED
        reports = entry.coordinator.job_reports
        case.assertEqual(reports.is_cancelled(JOB_ID), is_reported)
        case.assertEqual(
            reports.pending(1).cancelled, (JOB_ID,) if is_reported else ()
        )


def test_job_on_its_way_counts_as_unknown(case):
    """Guards against 410 for a job whose offer arrives after the cancellation."""
    unknown = CancelResult.UNKNOWN
    entry = Entry([unknown, unknown, CancelResult.CANCELED])
    case.assertIs(cancel(entry)[0], CancelResult.CANCELED)
    result, elapsed = cancel(Entry([unknown]))
    case.assertIs(result, unknown)
    case.assertGreater(elapsed, UNKNOWN_SETTLES_S)
    # The entry has not offered the job yet, or the leader stops its offer.
    case.assertIs(cancel(Entry([unknown]), True)[0], CancelResult.CANCELED)


def test_cancellation_waits_for_a_leader(case):
    """Guards against an untrue or a missing answer without a leader.

    The request for the job may wait at another entry, and have been offered.
    """
    for attributes in (
        {"leader": None},
        {"leader_is_unresponsive": True},
        {},
    ):
        entry = Entry([Error(PeerLost())], **attributes)
        result, elapsed = cancel(entry)
        case.assertIs(result, CancelResult.UNDECIDED)
        case.assertLess(elapsed, CANCEL_WAIT_S + 0.5)
        reports = entry.coordinator.job_reports
        case.assertEqual(reports.pending(1).cancelled, (JOB_ID,))
        entry.coordinator.report_withdrawn_job.assert_not_called()


def test_later_leader_confirms(case):
    """Guards against giving up while a new leader is being found."""
    lost, undecided = Error(PeerLost()), CancelResult.UNDECIDED
    entry = Entry([lost, undecided, CancelResult.CANCELED])
    case.assertIs(cancel(entry)[0], CancelResult.CANCELED)
    entry.coordinator.report_failed_call.assert_called_once()


def test_waiting_job_is_cancelled_without_a_leader(case):
    """Guards against a refusal although the job can be cancelled here.

    Its only caller waits at this entry, which no longer offers it.
    """
    entry = Entry([Error(PeerLost())])
    case.assertIs(cancel(entry, True)[0], CancelResult.CANCELED)
    entry.coordinator.report_withdrawn_job.assert_called_once_with(JOB_ID)


def test_job_that_may_be_elsewhere_counts_as_waiting(case):
    """Guards against an acknowledgement if the caller may have left.

    It may have sent the job to an entry that follows another leader.
    """
    entry = Entry([Error(PeerLost())])
    entry.coordinator.unanswered_jobs.add((JOB_ID,))
    case.assertIs(cancel(entry, True)[0], CancelResult.UNDECIDED)


def test_leader_of_the_previous_build_is_asked(case):
    """Guards against a message that breaks the connection to the leader.

    It rejects frames with messages that it does not know. It handles a
    withdrawal, which cancels a job that waits at this entry alone.
    """
    for is_waiting, expected in (
        (True, CancelResult.CANCELED),
        (False, CancelResult.UNDECIDED),
    ):
        entry = Entry(leader_accepts_cancellations=False)
        result, elapsed = cancel(entry, is_waiting)
        case.assertIs(result, expected)
        case.assertEqual(entry.asked, [])
        case.assertLess(elapsed, 0.3)


def lead(
    result, is_kept=False, hears_site=True, is_partial=False, leads_for_s=1.0
):
    """Returns an entry that leads and whose placer gives a result."""
    driver = mock.Mock(started_at=clock.now() - leads_for_s)
    driver.cancel.return_value = result
    driver.placer.kept_jobs = [JOB_ID] if is_kept else []
    return Entry(
        driver=driver,
        leader=Leader(3, LOCAL_MEMBER, is_partial),
        heartbeats=mock.Mock(hears_site=hears_site),
    )


def test_leader_answers_for_jobs_of_another_one(case):
    """Guards against untrue answers of a leader that misses members.

    Another leader may have a job that this one does not know, or whose caller
    has left and may have sent it again.
    """
    canceled, ended = CancelResult.CANCELED, CancelResult.ENDED
    unknown, undecided = CancelResult.UNKNOWN, CancelResult.UNDECIDED
    for misses in ({"hears_site": False}, {"is_partial": True}):
        for result, is_kept, expected in (
            (canceled, False, canceled),
            (canceled, True, undecided),
            (unknown, False, undecided),
            (ended, False, ended),
        ):
            entry = lead(result, is_kept, **misses)
            found = entry.cancellations.receive(JOB_ID)
            case.assertIs(found, expected)
    for result in (canceled, unknown, ended):
        found = lead(result, True).cancellations.receive(JOB_ID)
        case.assertIs(found, result)
    case.assertIs(Entry().cancellations.receive(JOB_ID), undecided)


def test_new_leader_answers_before_it_has_heard_the_others(case):
    """Guards against 410 for a job whose entry has not found the leader yet.

    All members count as heard when a leader starts.
    """
    unknown, undecided = CancelResult.UNKNOWN, CancelResult.UNDECIDED
    entry = lead(unknown, leads_for_s=0.1)
    case.assertIs(entry.cancellations.receive(JOB_ID), undecided)
    result, elapsed = cancel(entry)
    case.assertIs(result, unknown)
    case.assertGreater(elapsed, UNKNOWN_SETTLES_S)


def test_second_question_has_another_answer(case):
    """Guards against an acknowledgement of a job that may be elsewhere.

    The first question ends the job here, so that it is known as cancelled when
    the entry asks again.
    """
    canceled, undecided = CancelResult.CANCELED, CancelResult.UNDECIDED
    entry = lead(canceled, is_kept=True, hears_site=False)
    for _ in range(2):
        case.assertIs(entry.cancellations.receive(JOB_ID), undecided)
        entry.coordinator.driver.placer.kept_jobs = []
    entry.coordinator.heartbeats.hears_site = True
    case.assertIs(entry.cancellations.receive(JOB_ID), canceled)


def test_answers_to_callers(case):
    """Guards against answers that do not tell what became of the job."""
    for result, status in (
        (CancelResult.CANCELED, 200),
        (CancelResult.ENDED, 410),
        (CancelResult.UNKNOWN, 410),
        (CancelResult.UNDECIDED, 503),
    ):
        entry = Entry()
        entry.cancellations.cancel = mock.AsyncMock(return_value=result)
        found, body = asyncio.run(entry.request("DELETE"))
        case.assertEqual(found, status)
        if status == 200:
            case.assertEqual(body, b'{"state":"canceled"}')


def test_cancelled_job_is_offered(case):
    """Guards against a start by a leader that does not know the cancellation."""
    entry = Entry()
    entry.coordinator.job_reports.learn_cancelled((JOB_ID,))
    answer = asyncio.run(entry.request("POST"))
    case.assertEqual(answer, (200, b'{"state":"canceled"}'))
    case.assertEqual(entry.asked, [])


def test_caller_of_a_cancelled_job_gets_another_answer(case):
    """Guards against 504 or 200 `failed`, which do not tell the truth.

    After 504 the caller sends the job again.
    """
    for outcome in (CANCELED_OUTCOME, Outcome(OutcomeKind.LOST, "caller_left")):
        entry = Entry()

        async def call(address, offer, timeout, entry=entry, outcome=outcome):
            del address, offer, timeout
            entry.coordinator.job_reports.add_cancelled(JOB_ID)
            return Ok(outcome)

        entry.handler.links.call = call
        answer = asyncio.run(entry.request("POST"))
        case.assertEqual(answer, (200, b'{"state":"canceled"}'))


def test_new_leader_learns_of_cancelled_jobs(case, coordinator):
    """Guards against a cancellation that is lost with its leader or its entry.

    An entry tells each leader what its own callers have cancelled, and tells a
    new one all that it knows.
    """
    sent = []
    reply = HeartbeatReply(
        1, True, False, (), {}, 0, 0, 0.0, 0,
        cancelled_jobs=("theirs",),
        accepts_cancellations=True,
    )  # fmt: skip

    async def answer(address, message, timeout):
        del address, timeout
        sent.append(message.cancelled_jobs)
        return Ok(reply)

    async def scenario():
        coordinator.links.call = answer
        coordinator.job_reports.add_cancelled("ours")
        for leader in (LOST_LEADER, LOST_LEADER, Leader(2, OTHER_MEMBER)):
            coordinator.leader = leader
            await coordinator._send_heartbeat(leader, 1.0)
        case.assertTrue(coordinator.leader_accepts_cancellations)
        coordinator._start_leading(Leader(3, LOCAL_MEMBER))

    asyncio.run(scenario())
    case.assertEqual(sent, [("ours",), (), ("ours", "theirs")])
    placer = coordinator.driver.placer
    case.assertEqual(
        [call.args[0] for call in placer.cancel.call_args_list],
        ["ours", "theirs"],
    )


def test_members_learn_of_cancelled_jobs(case, coordinator):
    """Guards against a member that leads next and knows no cancellation.

    The leader cancels what members report. A job that had ended before keeps
    its outcome, also at the next leader.
    """

    async def scenario():
        coordinator._start_leading(Leader(3, LOCAL_MEMBER))
        results = {"a": CancelResult.UNKNOWN, "b": CancelResult.ENDED}
        coordinator.driver.cancel = mock.Mock(side_effect=results.get)
        first = coordinator.receive_heartbeat(
            Heartbeat(OTHER_MEMBER, 0, cancelled_jobs=("a", "b"))
        )
        case.assertEqual(coordinator.driver.cancel.call_count, 2)
        case.assertEqual(first.cancelled_jobs, ("a",))
        case.assertTrue(first.accepts_cancellations)
        with mock.patch.object(clock, "now", return_value=clock.now() + 0.1):
            again = Heartbeat(OTHER_MEMBER, 0, answered_at=clock.now())
            second = coordinator.receive_heartbeat(again)
        case.assertEqual(second.cancelled_jobs, ())

    asyncio.run(scenario())


def test_reports_of_cancelled_jobs_grow(case):
    """Guards against memory that callers fill with ids that never existed."""
    reports = JobReports()
    with mock.patch.object(clock, "now", return_value=1000.0) as now:
        for number in range(MAX_CANCELLED_JOBS + 5):
            reports.add_cancelled(str(number))
        case.assertEqual(len(reports.pending(1).cancelled), MAX_CANCELLED_JOBS)
        case.assertFalse(reports.is_cancelled("4"))
        case.assertTrue(reports.is_cancelled("5"))
        now.return_value += CANCELLED_RETENTION_S + 0.1
        case.assertFalse(reports.is_cancelled("5"))
        case.assertEqual(reports.pending(1).cancelled, ())
