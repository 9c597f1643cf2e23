"""Tests of the search for a leader, with doubles of peers and store."""

import asyncio
import random
from unittest import mock

import attrs
from expression import Error
from expression import Ok

from anvilford.leadership import digest_members
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.node import _clock as clock
from anvilford.node._appointment import APPOINT_AFTER_S
from anvilford.node._appointment import APPOINT_AGAIN_AFTER_S
from anvilford.node._contest import Contest
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._members import MEMBER_LIVE_TIMEOUT_S
from anvilford.node._search import MembershipView
from anvilford.node._unanswered import UNANSWERED_RETENTION_S
from anvilford.placement import Accepted
from anvilford.placement import CrashHistory
from anvilford.placement import JobSpec
from anvilford.placement import LossState
from anvilford.placement import Offer
from anvilford.placement import PlacementOptions
from anvilford.placement import Placer
from anvilford.placement import Poll
from anvilford.placement import QueuePolicy
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import RunningTask
from anvilford.placement import StartRun
from anvilford.placement import StepSpec
from anvilford.placement import TargetLoss
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.protocol import LeaderAnnounced
from anvilford.protocol import LeaderQuery
from anvilford.protocol import TargetLossReport
from anvilford.telemetry import Counters
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

LOCAL_MEMBER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
OTHER_MEMBER = Member("entry-1", "b", "127.0.0.1:2", 1.0, "t1")
LOST_LEADER = Leader(1, Member("entry-2", "a", "127.0.0.1:3", 1.0, "t2"))
# Time for which the tests run the coordinator to search for a leader; longer
# than two rounds of leader queries.
SEARCH_DURATION_S = 0.5


class FakePeerLinks:
    """Connections to a lost leader and to a member without a leader.

    Attributes:
        disconnected: Addresses to which connections were closed.
        sent: Addresses and contents of one-way messages.
    """

    def __init__(self):
        self.disconnected = []
        self.sent = []

    async def call(self, address, message, timeout):
        """Answers a leader query to the live member; other calls fail."""
        del timeout
        if address == OTHER_MEMBER.address and isinstance(message, LeaderQuery):
            return Ok(Opinion(OTHER_MEMBER, 1, True, False, LOST_LEADER))
        return Error("unreachable")

    def send(self, address, message):
        """Records a one-way message."""
        self.sent.append((address, message))

    def disconnect(self, address):
        """Records the address, as there are no connections."""
        self.disconnected.append(address)


class FakeLeaderRow:
    """Leader's row that names only the lost leader."""

    leader = LOST_LEADER
    members = (LOST_LEADER.member,)
    has_been_read = True
    version = 1
    store_reachable = True
    unchanged_s = 1.0

    @property
    def changed_at(self):
        """Returns a time at which the row is neither fresh nor stale."""
        return clock.now() - 1.0

    async def read(self, timeout=0.0):
        """Returns True, as if the store answered."""
        del timeout
        return True

    async def write(self, leader, members):
        """Stores the row and returns True."""
        self.leader, self.members = leader, members
        return True


async def _probe_other_zones() -> bool:
    return True


@fixture
def coordinator():
    """Coordinator of a member that knows only the lost leader."""
    site = mock.Mock(targets=(), is_placing=False)
    site.is_loaded.return_value = True
    site.recently_removed_targets.return_value = ()
    driver = mock.Mock(name="driver")
    driver.waiting_entries.return_value = set()
    driver.fenced_zones.return_value = {"b"}
    driver.placer.kept_jobs = []
    yield LeadershipCoordinator(
        LOCAL_MEMBER,
        FakePeerLinks(),
        FakeLeaderRow(),
        mock.AsyncMock(name="speed_row"),
        site,
        Counters(),
        mock.Mock(name="make_driver", return_value=driver),
        _probe_other_zones,
        mock.AsyncMock(return_value=Contest.UNANSWERED),
        CrashHistory(),
    )


async def run_for(coordinator, seconds: float) -> None:
    """Runs the coordinator's main loop for the given time."""
    loop = asyncio.ensure_future(coordinator.run())
    await asyncio.sleep(seconds)
    loop.cancel()


def test_member_that_asks_counts(case, coordinator):
    """A member that sends a leader query counts towards the majority.

    The failure: a leader ended right after its start, having sent a member list
    with only itself. A member that knew only that leader considered itself
    partitioned, while the member that queried it waited for it to lead. The new
    term must be above that of the lost leader, so that targets obey.
    """

    async def scenario():
        await coordinator.receive_query(OTHER_MEMBER)
        await run_for(coordinator, SEARCH_DURATION_S)

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(2, LOCAL_MEMBER))


def test_member_that_reaches_nobody_waits(case, coordinator):
    """A member that reaches no other member does not start to lead."""
    asyncio.run(run_for(coordinator, SEARCH_DURATION_S))
    case.assertIsNone(coordinator.leader)


def test_row_names_members_besides_those_that_ask(case, coordinator):
    """Members that send queries do not replace the members in the row.

    The failure: a new process received a query before it had read the row,
    took the querying member for the whole site, and led while most members of
    the site had not started.
    """
    unreachable = [
        Member(f"entry-{n}", "c", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 9)
    ]
    coordinator.leader_row.members = (
        LOST_LEADER.member,
        OTHER_MEMBER,
        *unreachable,
    )

    async def scenario():
        await coordinator.receive_query(OTHER_MEMBER)
        await run_for(coordinator, SEARCH_DURATION_S)

    asyncio.run(scenario())
    case.assertIsNone(coordinator.leader)


def test_leader_of_a_zone_outlives_a_higher_fence(case, coordinator):
    """Guards against a second run started by the leader of a zone.

    It took an offer from an entry that had followed a leader with a higher
    token, and started the job although a target ran it under that token.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER, is_partial=True))
        coordinator.raise_fence_above(Leader(4, OTHER_MEMBER).fence)

    asyncio.run(scenario())
    case.assertIsNone(coordinator.driver)
    case.assertIsNone(coordinator.leader)
    case.assertEqual(coordinator.term, 4)


def test_late_heartbeat_counts_as_new(case, coordinator):
    """Guards against a second run after a heartbeat that arrived late.

    The leader took the time of the arrival for that at which the member still
    followed it. The member had gone over to another leader since.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        reply = coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        answered_at = clock.now()
        await asyncio.sleep(0.01)
        coordinator.receive_heartbeat(
            Heartbeat(OTHER_MEMBER, 0, answered_at=reply.sent_at)
        )
        return answered_at

    answered_at = asyncio.run(scenario())
    name, followed_at = coordinator.driver.placer.record_contact.call_args.args
    case.assertEqual(name, OTHER_MEMBER.name)
    case.assertLessEqual(followed_at, answered_at)


def test_offers_hang_at_a_leader_that_was_replaced(case, coordinator):
    """Guards against offers that are not repeated to a new leader.

    The member followed the leader that announced itself, but kept the
    connection to the silent one, on which its offers waited for an answer.
    """

    async def scenario():
        coordinator._follow(LOST_LEADER)
        # A heartbeat that was sent 0.1 s ago has no answer yet.
        coordinator._heartbeat_pending_since = clock.now() - 0.1
        coordinator.receive_announcement(Leader(2, OTHER_MEMBER))

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(2, OTHER_MEMBER))
    case.assertEqual(
        coordinator.links.disconnected, [LOST_LEADER.member.address]
    )


def test_member_that_stepped_down_writes_the_row(case, coordinator):
    """Guards against a row write without a leader after a suspension."""

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        driver = coordinator.driver
        driver.waiting_entries.return_value = {"silent"}
        driver.stop_jobs_of.side_effect = lambda entry: (
            coordinator.on_suspended(driver)
        )
        await coordinator._lead_step()
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    case.assertIsNone(coordinator.leader)
    case.assertIsNone(coordinator._row_write_task)


def test_stopping_leader_raises_its_term(case, coordinator):
    """Guards against new claims by a leader that should step down.

    A target obeyed a higher token less than a second before the stop.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        coordinator.on_fence_lost(coordinator.driver)
        coordinator.is_stopping = True
        coordinator._raise_fence_at = clock.now()
        await coordinator._lead_step()

    asyncio.run(scenario())
    case.assertNotEqual(coordinator.leader, Leader(3, LOCAL_MEMBER))


def lead_four_members(coordinator):
    """Starts to lead a site; returns the other members, which count as live."""
    others = [
        Member(f"entry-{n}", "b", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 8)
    ]
    coordinator.membership.members = (LOCAL_MEMBER, *others)
    coordinator._start_leading(Leader(2, LOCAL_MEMBER))
    return others


def test_leader_without_members_takes_the_targets_back(case, coordinator):
    """Guards against two leaders that take the targets from each other.

    A leader was cut off from the other members but not from the targets. The
    others elected another one, and each raised its token above the other's.
    """

    async def scenario():
        others = lead_four_members(coordinator)
        driver = coordinator.driver
        last_heard = clock.now() - MEMBER_LIVE_TIMEOUT_S - 0.1
        for member in others:
            coordinator.heartbeats.record_heartbeat(member, last_heard, 0.0)
        coordinator.on_fence_lost(driver)
        coordinator._raise_fence_at = clock.now()
        await coordinator._lead_step()
        case.assertEqual(driver.raise_fence.call_count, 0)

    asyncio.run(scenario())
    case.assertIsNone(coordinator.driver)
    case.assertNotEqual(coordinator.leader, Leader(3, LOCAL_MEMBER))


def test_leader_with_a_majority_takes_the_targets_back(case, coordinator):
    """A leader of the whole site must end that of a zone after its cut."""

    async def scenario():
        lead_four_members(coordinator)
        coordinator.on_fence_lost(coordinator.driver)
        coordinator._raise_fence_at = clock.now()
        await coordinator._lead_step()

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(3, LOCAL_MEMBER))


def test_heartbeat_is_sent_while_another_has_no_answer(case, coordinator):
    """Guards against late heartbeats that count as proof of each other.

    The leader takes a heartbeat as sent after the previous one was answered.
    """
    unanswered = []

    async def call(address, message, timeout):
        del timeout
        if isinstance(message, Heartbeat):
            unanswered.append(address)
            await asyncio.sleep(1.0)
        raise AssertionError("not reached")

    coordinator.links.call = call

    async def scenario():
        coordinator._follow(LOST_LEADER)
        step = asyncio.ensure_future(coordinator._follow_step())
        await asyncio.sleep(0.01)
        query = asyncio.ensure_future(coordinator.receive_query(OTHER_MEMBER))
        await asyncio.sleep(0.01)
        step.cancel()
        query.cancel()

    asyncio.run(scenario())
    case.assertEqual(unanswered, [LOST_LEADER.member.address])


def test_late_heartbeats_are_no_proof_of_each_other(case, coordinator):
    """Guards against a second run after two heartbeats that arrived together.

    The first one timed out while the leader was held up. The leader took it as
    proof that the member still followed it when it sent the second one.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        reply = coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        await asyncio.sleep(0.01)
        for _ in range(2):
            coordinator.receive_heartbeat(
                Heartbeat(OTHER_MEMBER, 0, answered_at=reply.sent_at)
            )
        return reply.sent_at

    answered_at = asyncio.run(scenario())
    _, followed_at = coordinator.driver.placer.record_contact.call_args.args
    case.assertEqual(followed_at, answered_at)


def test_leader_that_was_held_up_extends_leases(case, coordinator):
    """Guards against runs that outlast the wait of another placer.

    A leader that stood still for 0.46 s, too short for a step down, extends
    leases before it checks its members. One of them had left since its last
    proof, and its jobs start elsewhere when its permission is over.
    """
    target = TargetRecord(
        "r1", 3, "127.0.0.1:1", "a", "line", False, 0, Resources(8000), (), 1
    )
    step = StepSpec(1, Resources(1000), 50)
    policy = QueuePolicy("check", "line", 0, 3, 1.6, 60)
    offer = Offer(
        "job", OTHER_MEMBER.name, policy, JobSpec("", (step,)), 0.0, 5.0
    )
    placer = Placer(64, 1000.0, PlacementOptions(), random.Random(1))
    coordinator.create_driver.return_value.placer = placer

    def pop_one(kind):
        (order,) = (x for x in placer.pop_effects() if isinstance(x, kind))
        return order

    def answer_poll(poll, now, running=()):
        clock_ms = int((now - 1000.0) * 1000)
        report = Report(clock_ms, running, (), target.incarnation)
        placer.handle_poll_answer(poll, report, now)

    async def scenario():
        coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
        with mock.patch.object(clock, "now", return_value=1000.0):
            coordinator._start_leading(Leader(3, LOCAL_MEMBER))
        placer.apply_target_list([target], [], 1000.0)
        answer_poll(pop_one(Poll), 1000.0)
        placer.offer(offer, 1000.0)
        placer.dispatch(1000.0)
        start, poll = (
            x for x in placer.pop_effects() if isinstance(x, StartRun | Poll)
        )
        placer.handle_start_answer(start, Accepted(0), 1000.0)
        running = (RunningTask(start.task, start.run, 10),)
        answer_poll(poll, 1000.55, running)
        coordinator._expire_members(1000.59)
        answer_poll(pop_one(Poll), 1001.05, running)

    asyncio.run(scenario())
    lease_end = placer.fleet.targets["r1"].lease_end
    permission_end = 1000.0 + PlacementOptions().permission_lifetime
    case.assertGreater(lease_end, permission_end - 0.05)
    case.assertLessEqual(lease_end, permission_end)


def test_reply_repeats_no_member_list(case, coordinator):
    """Guards against heartbeat replies that grow with the number of members.

    With 97 entries, each of 650 replies a second carried all members: 4.7 MB
    a second, and 0.4 ms of processor time to decode each of them.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        first = coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        heartbeat = Heartbeat(OTHER_MEMBER, 0, first.members_digest)
        same = coordinator.receive_heartbeat(heartbeat)
        restarted = attrs.evolve(OTHER_MEMBER, token="t9")
        changed = coordinator.receive_heartbeat(
            Heartbeat(restarted, 0, first.members_digest)
        )
        return first, same, changed

    first, same, changed = asyncio.run(scenario())
    case.assertIn(OTHER_MEMBER, first.members)
    case.assertEqual(same.members, ())
    case.assertIn("t9", [member.token for member in changed.members])


def test_member_list_is_known_by_its_digest(case):
    """A member must keep the list that a reply names by its digest only."""
    view = MembershipView(LOCAL_MEMBER)
    members = (LOCAL_MEMBER, OTHER_MEMBER)
    digest = digest_members(members)
    view.apply_member_list(members, digest)
    view.querying_members["entry-9"] = OTHER_MEMBER
    view.apply_member_list((), digest + 1)
    case.assertTrue(view.querying_members)
    view.apply_member_list((), digest)
    case.assertFalse(view.querying_members)
    case.assertEqual(view.members, members)
    case.assertEqual(digest_members(reversed(members)), view.members_digest)


def test_queries_share_a_heartbeat(case, coordinator):
    """A member must confirm a living leader to all that ask at once.

    If each query sent a heartbeat of its own, 96 members that ask would cause
    as many heartbeats one after the other: most answers would come too late
    and state that the leader is lost.
    """
    replies = HeartbeatReply(1, True, False, (), {}, 0, 0, 0.0, 0)
    heartbeats = []

    async def call(address, message, timeout):
        del address, timeout
        heartbeats.append(message)
        await asyncio.sleep(0.01)
        return Ok(replies)

    coordinator.links.call = call

    async def scenario():
        coordinator._follow(LOST_LEADER)
        return await asyncio.gather(
            *(coordinator.receive_query(OTHER_MEMBER) for _ in range(96))
        )

    opinions = asyncio.run(scenario())
    case.assertTrue(all(opinion.reaches_leader for opinion in opinions))
    case.assertLessEqual(len(heartbeats), 2)


def test_suspension_is_noticed_while_the_token_is_raised(case, coordinator):
    """A leader that resumes with an offer of a higher token must step down.

    Reading the clock for the new target list shows the suspension. An exception
    at that point would leave the offer without a reply.
    """

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        driver = coordinator.driver
        driver.update_targets.side_effect = lambda *_: (
            coordinator.on_suspended(driver)
        )
        coordinator.raise_fence_above(Leader(3, OTHER_MEMBER).fence)

    asyncio.run(scenario())
    case.assertIsNone(coordinator.driver)
    case.assertIsNone(coordinator.leader)


def test_small_leader_appoints_a_larger_member(case, coordinator):
    """The first member that starts must not lead a large site for good.

    On a site of 97 entries, one with 1.3 of 2.2 cores led until the first peak,
    lost its leases and was replaced 10 times within 2.5 s.
    """
    large = attrs.evolve(OTHER_MEMBER, cores=2.0)
    coordinator.links.send = mock.Mock()

    async def scenario():
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        coordinator._appointments.record_lead(-APPOINT_AFTER_S)
        coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        coordinator.links.send.reset_mock()
        coordinator._appoint_better_member(clock.now())
        coordinator.links.send.assert_not_called()
        coordinator.receive_heartbeat(Heartbeat(large, 0))
        coordinator._appoint_better_member(clock.now())
        coordinator.links.send.assert_called_once_with(
            large.address, LeaderAnnounced(Leader(3, large))
        )
        # Without an answer, this member leads on and does not ask again soon.
        coordinator._appoint_better_member(clock.now())
        coordinator.links.send.assert_called_once()
        case.assertEqual(coordinator.leader, Leader(2, LOCAL_MEMBER))
        coordinator.receive_announcement(Leader(3, large))

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(3, large))
    case.assertIsNone(coordinator.driver)


def test_restarted_member_is_appointed_soon(case, coordinator):
    """Guards against a small leader for 10 s after the large member restarted.

    The leader had appointed that member before, which led until it was lost.
    The restarted process is another one: only an appointment of the same one
    is not repeated soon, since it did not take over, or lost the lead.
    """
    large = attrs.evolve(OTHER_MEMBER, cores=2.0)
    restarted = attrs.evolve(large, token="t1-restarted")
    coordinator.links.send = mock.Mock()

    async def scenario():
        for term, member in ((2, large), (4, restarted)):
            coordinator._start_leading(Leader(term, LOCAL_MEMBER))
            coordinator.receive_heartbeat(Heartbeat(member, 0))
            now = clock.now()
            coordinator.links.send.reset_mock()
            coordinator._appoint_better_member(now + 0.5 * APPOINT_AFTER_S)
            coordinator.links.send.assert_not_called()
            coordinator._appoint_better_member(now + APPOINT_AFTER_S)
            appointment = LeaderAnnounced(Leader(term + 1, member))
            coordinator.links.send.assert_called_once_with(
                member.address, appointment
            )
            coordinator.receive_announcement(appointment.leader)
            case.assertIsNone(coordinator.driver)
        coordinator._start_leading(Leader(6, LOCAL_MEMBER))
        coordinator.receive_heartbeat(Heartbeat(restarted, 0))
        coordinator.links.send.reset_mock()
        coordinator._appoint_better_member(now + 2 * APPOINT_AFTER_S)
        coordinator.links.send.assert_not_called()
        again_at = now + APPOINT_AFTER_S + APPOINT_AGAIN_AFTER_S
        coordinator._appoint_better_member(again_at)
        coordinator.links.send.assert_called_once()

    asyncio.run(scenario())


def test_appointed_member_leads_once(case, coordinator):
    """An appointment that arrives late or twice must not start a new term."""

    async def scenario():
        coordinator._follow(Leader(4, OTHER_MEMBER))
        coordinator.receive_announcement(Leader(4, LOCAL_MEMBER))
        case.assertIsNone(coordinator.driver)
        coordinator.receive_announcement(Leader(5, LOCAL_MEMBER))
        driver = coordinator.driver
        case.assertIsNotNone(driver)
        coordinator.receive_announcement(Leader(6, LOCAL_MEMBER))
        case.assertIs(coordinator.driver, driver)

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(5, LOCAL_MEMBER))


def test_stopping_member_accepts_no_appointment(case, coordinator):
    """A member that stops must not lead, or the site loses its leader."""
    coordinator.is_stopping = True

    async def scenario():
        coordinator._follow(Leader(4, OTHER_MEMBER))
        coordinator.receive_announcement(Leader(5, LOCAL_MEMBER))

    asyncio.run(scenario())
    case.assertIsNone(coordinator.driver)


def test_members_learn_which_targets_the_leader_lost(case, coordinator):
    """The successor of a leader must know the tasks that may crash targets.

    It would start them again, as often as its predecessor did.
    """

    async def scenario():
        coordinator.membership.members = (OTHER_MEMBER,)
        coordinator._start_leading(Leader(2, LOCAL_MEMBER))
        tasks = ("a.0.0.0",)
        coordinator.crashes.record_loss(
            "r1", 3, tasks, tasks[:1], LossState.SILENT, 0.0
        )
        await run_for(coordinator, 0.2)
        report = TargetLossReport(
            (TargetLoss("r1", 3, tasks, LossState.SILENT, tasks[:1]),)
        )
        case.assertIn((OTHER_MEMBER.address, report), coordinator.links.sent)

    asyncio.run(scenario())


def test_new_leader_learns_which_jobs_may_come_again(case, coordinator):
    """Guards against a second run of a job that another entry offers as new.

    Only the entry that left the caller without an answer knows the job. It
    reports each such job once to a leader, and those of the last seconds to a
    new one.
    """
    reports = []
    placer = coordinator.create_driver.return_value.placer

    async def answer(address, message, timeout):
        del address, timeout
        reports.append(message.unanswered_jobs)
        return Ok(HeartbeatReply(1, True, False, (), {}, 0, 0, 0.0, 0))

    async def scenario():
        coordinator.links.call = answer
        with mock.patch.object(clock, "now") as now:
            now.return_value = 1000.0
            coordinator.report_unanswered_job("old")
            now.return_value += UNANSWERED_RETENTION_S + 0.1
            coordinator.report_unanswered_job("job")
            for leader in (LOST_LEADER, LOST_LEADER, Leader(2, OTHER_MEMBER)):
                now.return_value += 0.1
                coordinator.leader = leader
                await coordinator._send_heartbeat(leader, 1.0)
            coordinator._start_leading(Leader(3, LOCAL_MEMBER))
            case.assertEqual(
                placer.expect_resent_jobs.call_args.args[:2], (("job",), "")
            )
            coordinator.receive_heartbeat(
                Heartbeat(OTHER_MEMBER, 0, unanswered_jobs=("other",))
            )
            case.assertEqual(
                placer.expect_resent_jobs.call_args.args[:2],
                (("other",), OTHER_MEMBER.name),
            )

    asyncio.run(scenario())
    case.assertEqual(reports, [("job",), (), ("job",)])


def test_withdrawal_is_lost_while_no_leader_is_known(case, coordinator):
    """Guards against a job that runs to its end after its caller has left.

    The entry missed the leader for a moment just when the caller left, or the
    connection broke before the leader had read the withdrawal. The heartbeats
    that followed kept the job alive there.
    """
    replies = []
    leading = HeartbeatReply(1, True, False, (), {}, 0, 0, 0.0, 0)

    async def call(address, message, timeout):
        del address, message, timeout
        return replies.pop(0)

    def withdrawals():
        sent, coordinator.links.sent = coordinator.links.sent, []
        return [(address, message.job_id) for address, message in sent]

    async def scenario():
        coordinator.links.call = call
        coordinator.report_withdrawn_job("job")
        coordinator.report_withdrawn_job("offered again")
        coordinator.forget_withdrawal("offered again")
        case.assertEqual(withdrawals(), [])
        coordinator.leader = LOST_LEADER
        found = []
        for reply in (Error("lost"), Ok(leading), Ok(leading)):
            replies.append(reply)
            await coordinator._send_heartbeat(LOST_LEADER, 1.0)
            found.append(withdrawals())
        expected = [(LOST_LEADER.member.address, "job")]
        case.assertEqual(found, [expected, expected, []])
        coordinator.report_withdrawn_job("later")
        expected = [(LOST_LEADER.member.address, "later")]
        case.assertEqual(withdrawals(), expected)

    asyncio.run(scenario())


def test_restarted_member_keeps_jobs_of_its_earlier_process(case, coordinator):
    """Guards against a job that runs on although the process with it is gone.

    The member was back within the time after which the jobs of silent ones are
    stopped. The new process does not know the job, so that it would neither
    withdraw it nor report that its caller may send it again.
    """
    stop_jobs_of = coordinator.create_driver.return_value.stop_jobs_of
    restarted = attrs.evolve(OTHER_MEMBER, token="t9")

    async def scenario():
        coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
        coordinator._start_leading(Leader(3, LOCAL_MEMBER))
        coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        await coordinator.receive_query(OTHER_MEMBER)
        stop_jobs_of.assert_not_called()
        # It asks for the leader before it offers jobs of its own.
        await coordinator.receive_query(restarted)
        stop_jobs_of.assert_called_once_with(OTHER_MEMBER.name)
        coordinator.receive_heartbeat(Heartbeat(restarted, 0))
        stop_jobs_of.assert_called_once()

    asyncio.run(scenario())


def test_members_learn_which_jobs_may_come_again(case, coordinator):
    """Guards against a second run if the leader that knew of a job is lost.

    The entry that kept the job may be cut off with the leader. Any other member
    that leads next must know the job by then.
    """

    async def scenario():
        with mock.patch.object(clock, "now") as now:
            now.return_value = 1000.0
            coordinator._start_leading(Leader(3, LOCAL_MEMBER))
            coordinator.receive_heartbeat(
                Heartbeat(OTHER_MEMBER, 0, unanswered_jobs=("other",))
            )
            first = coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
            now.return_value += 0.1
            again = Heartbeat(OTHER_MEMBER, 0, answered_at=now.return_value)
            second = coordinator.receive_heartbeat(again)
            case.assertEqual(first.unanswered_jobs, ("other",))
            case.assertEqual(second.unanswered_jobs, ())
            coordinator._close_driver()
            coordinator.leader = LOST_LEADER
            reply = attrs.evolve(first, unanswered_jobs=("third",))
            coordinator.links.call = mock.AsyncMock(return_value=Ok(reply))
            await coordinator._send_heartbeat(LOST_LEADER, 1.0)
            case.assertEqual(
                coordinator.unanswered_jobs.list_since(), ("other", "third")
            )

    asyncio.run(scenario())


def test_leader_of_a_zone_waits_for_members_that_wait_for_it(case, coordinator):
    """Guards against a site without a leader after a cut has ended.

    The others reach the leader of the zone, which is the best candidate, and
    wait for it to lead the whole site.
    """

    async def scenario():
        coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
        coordinator._start_leading(Leader(2, LOCAL_MEMBER, is_partial=True))
        await run_for(coordinator, SEARCH_DURATION_S)

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader.member, LOCAL_MEMBER)
    case.assertFalse(coordinator.leader.is_partial)


async def lead_zone_of_lost_site(coordinator, unchanged_s, is_cut_off):
    """Leads a zone for a while; three of the other four members are gone.

    Args:
        coordinator: Coordinator of the local member.
        unchanged_s: Seconds for which the leader's row is seen unchanged.
        is_cut_off: Whether no target of another zone can be reached.
    """
    gone = [
        Member(f"entry-{n}", "c", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 6)
    ]
    coordinator.leader_row.unchanged_s = unchanged_s
    coordinator.search.probe_other_zones = mock.AsyncMock(
        return_value=not is_cut_off
    )
    coordinator.membership.members = (
        LOCAL_MEMBER,
        OTHER_MEMBER,
        LOST_LEADER.member,
        *gone,
    )
    coordinator._start_leading(Leader(2, LOCAL_MEMBER, is_partial=True))
    await run_for(coordinator, 2 * SEARCH_DURATION_S)


def test_leader_of_a_zone_waits_for_members_that_are_gone(case, coordinator):
    """Guards against a site without a leader after a cut and losses.

    Most members are gone for good. One outside the zone waits for the leader of
    the zone as the best candidate, while it waited for a majority.
    """
    asyncio.run(lead_zone_of_lost_site(coordinator, 60.0, is_cut_off=False))
    case.assertEqual(coordinator.leader, Leader(3, LOCAL_MEMBER))


def test_leader_of_a_zone_gives_it_up_in_the_cut(case, coordinator):
    """It stays while no other zone is reached, or the site has a leader."""
    zone_leader = Leader(2, LOCAL_MEMBER, is_partial=True)
    read = coordinator.leader_row.read = mock.AsyncMock()

    async def scenario():
        for answers, unchanged_s, is_cut_off in (
            (True, 60.0, True),
            (True, 1.0, False),
            (False, 60.0, False),
        ):
            read.reset_mock()
            read.return_value = answers
            await lead_zone_of_lost_site(coordinator, unchanged_s, is_cut_off)
            case.assertGreater(read.call_count, 1)
            case.assertEqual(coordinator.leader, zone_leader)

    with case.assertNoLogs("anvilford.node._coordination", "WARNING"):
        asyncio.run(scenario())


def test_leader_of_a_zone_claims_its_targets_in_turn(case, coordinator):
    """Guards against two leaders that take the targets of a zone from each other.

    Its members reach nobody outside, but the leader of the site reaches the
    targets of the zone, and claims them again each time.
    """
    gone = [
        Member(f"entry-{n}", "c", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 6)
    ]
    coordinator.search.probe_other_zones = mock.AsyncMock(return_value=False)
    coordinator.membership.members = (
        LOCAL_MEMBER,
        OTHER_MEMBER,
        LOST_LEADER.member,
        *gone,
    )

    async def scenario():
        loop = asyncio.ensure_future(coordinator.run())
        async with asyncio.timeout(5.0):
            while coordinator.driver is None:
                await asyncio.sleep(0.01)
        case.assertTrue(coordinator.leader.is_partial)
        coordinator.on_fence_lost(coordinator.driver)
        case.assertIsNone(coordinator.driver)
        await asyncio.sleep(4 * SEARCH_DURATION_S)
        case.assertIsNone(coordinator.driver)
        loop.cancel()

    asyncio.run(scenario())
