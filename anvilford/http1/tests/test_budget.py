"""Tests of the decisions about memory, room and time, without a network."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from anvilford.http1._budget import ProcessorShare
from anvilford.http1._budget import RequestBudget
from anvilford.http1._holding import choose_for_room
from anvilford.http1._holding import choose_victims
from anvilford.http1._holding import Expiry
from anvilford.http1._holding import find_expiry
from anvilford.http1._holding import FRESH_S
from anvilford.http1._holding import Holding
from anvilford.http1._holding import is_ordinary
from anvilford.http1._holding import LINGER_S
from anvilford.http1._holding import ORDINARY_BYTES
from anvilford.http1._holding import Phase
from anvilford.http1._limits import ListenerLimits
from testkit import function_tests

load_tests = function_tests(__name__)

NOW = 1000.0
LIMITS = ListenerLimits()


def holding(phase=Phase.INCOMPLETE, held=0, age=0.1, **fields) -> Holding:
    """Returns a holding whose phase began `age` seconds ago."""
    return Holding(
        lambda reason: None,
        since=NOW - age,
        progressed_at=NOW - age,
        phase=phase,
        held_bytes=held,
        **fields,
    )


def test_bodies_that_stand_still_go_first(case):
    """Guards against the refusal of a body that arrives fast.

    It holds as much as the many that stopped short of the end before it.
    """
    fast = holding(held=260_000, age=0.05, body_bytes=260_000)
    stopped = [
        holding(held=260_000, age=5.0, body_bytes=260_000) for _ in range(3)
    ]
    dripping = holding(held=60_000, age=5.0, body_bytes=0)
    victims = choose_victims([fast, *stopped, dripping], 300_000, NOW)
    case.assertEqual(victims[0], dripping)
    case.assertNotIn(fast, victims)
    case.assertEqual(len(victims), 2)


def test_ordinary_connections_are_never_victims(case):
    """Guards against the refusal of a caller that keeps to all limits."""
    ordinary = [
        holding(held=ORDINARY_BYTES, age=FRESH_S / 2),
        holding(Phase.SERVED, 300_000, 5.0, served_bytes=300_000),
        holding(Phase.IDLE, 0, 20.0),
        holding(Phase.NEW, 0, 0.1),
    ]
    case.assertEqual(choose_victims(ordinary, 10**9, NOW), [])
    others = [
        holding(held=ORDINARY_BYTES + 1),
        holding(held=2000, age=FRESH_S + 1),
        holding(Phase.SERVED, 300_000, 5.0, served_bytes=100_000),
        holding(Phase.UNREAD, 70_000, 0.1),
    ]
    victims = choose_victims(ordinary + others, 10**9, NOW)
    case.assertCountEqual(victims, others)


holdings = strategies.builds(
    holding,
    strategies.sampled_from(Phase),
    strategies.integers(0, 300_000),
    strategies.floats(0, 60),
    body_bytes=strategies.integers(0, 262_144),
)


@settings(deadline=None, max_examples=200, database=None)
@given(
    items=strategies.lists(holdings, max_size=30),
    excess=strategies.integers(0, 3_000_000),
)
def check_victims(items, excess):
    """Checks what holds for every crowd."""
    victims = choose_victims(items, excess, NOW)
    freed = [v.held_bytes - v.served_bytes for v in victims]
    assert len(set(map(id, victims))) == len(victims)
    assert not any(is_ordinary(v, NOW) for v in victims)
    # None is refused beyond the need, and enough are if there are enough.
    assert sum(freed[:-1]) < excess or not victims
    others = [h for h in items if not is_ordinary(h, NOW)]
    assert sum(freed) >= excess or len(victims) == len(others)


def test_victims_of_any_crowd(case):
    """Guards against too few, too many or ordinary victims."""
    check_victims()
    case.assertTrue(check_victims.hypothesis)


def test_budget_follows_its_connections(case):
    """Guards against a sum that drifts from what is held.

    It would refuse all or nothing after some days.
    """
    refused = []
    budget = RequestBudget(1000)
    first, second = holding(age=5.0), holding(age=9.0)
    for item in (first, second):
        item.refuse = lambda reason, item=item: refused.append((item, reason))
        budget.add(item)
    budget.change(first, 400)
    budget.change(second, 600)
    budget.relieve(NOW)
    case.assertEqual((budget.held_bytes, refused), (1000, []))
    budget.change(first, 500)
    budget.relieve(NOW)
    case.assertEqual(refused, [(second, "memory")])
    budget.change(second, 0)
    budget.remove(second)
    budget.remove(second)
    budget.change(second, 700)
    case.assertEqual(budget.held_bytes, 500)
    budget.remove(first)
    case.assertEqual(budget.held_bytes, 0)


def test_room_for_a_new_connection(case):
    """Guards against an idle connection that ends before a stalled request."""
    refused = holding(Phase.REFUSED)
    stalled = holding(age=FRESH_S + 1)
    fresh = holding(age=FRESH_S / 2)
    unread = holding(Phase.UNREAD)
    idle = holding(Phase.IDLE, age=20.0)

    def choose(*groups):
        return choose_for_room(*groups, NOW)

    case.assertIs(choose([refused], [stalled], [unread], [idle]), refused)
    case.assertIs(choose([], [stalled, fresh], [unread], [idle]), stalled)
    case.assertIs(choose([], [fresh], [unread], [idle]), unread)
    case.assertIs(choose([], [fresh], [], [idle]), idle)
    case.assertIs(choose([], [fresh], [], []), fresh)
    case.assertIsNone(choose([], [], [], []))


def test_time_limits(case):
    """Guards against connections that no time limit ends, or a wrong one."""
    for phase, age, received, has_unread, expiry in (
        (Phase.NEW, LIMITS.idle_timeout_s + 1, 0, False, Expiry.IDLE),
        (Phase.IDLE, LIMITS.idle_timeout_s + 1, 0, False, Expiry.IDLE),
        (Phase.IDLE, LIMITS.idle_timeout_s - 1, 0, False, None),
        (Phase.INCOMPLETE, 31.0, 10**6, False, Expiry.TIMEOUT),
        (Phase.INCOMPLETE, 10.5, 512 * 10, False, Expiry.TOO_SLOW),
        (Phase.INCOMPLETE, 10.5, 512 * 11, False, None),
        (Phase.INCOMPLETE, 9.5, 1, False, None),
        (Phase.SERVED, 1000.0, 0, False, None),
        (Phase.UNREAD, 10.5, 0, True, Expiry.UNREAD),
        (Phase.UNREAD, 9.5, 0, True, None),
        (Phase.REFUSED, LINGER_S + 0.1, 0, False, Expiry.LINGERED),
        (Phase.REFUSED, LINGER_S + 0.1, 0, True, None),
        (Phase.REFUSED, 10.5, 0, True, Expiry.UNREAD),
    ):
        with case.subTest(phase=phase, age=age):
            item = holding(phase, 0, age, received_bytes=received)
            found = find_expiry(item, LIMITS, has_unread, NOW)
            case.assertEqual(found, expiry)


def test_processor_time_is_bounded(case):
    """Guards against requests that take more than their share of the time."""
    account = ProcessorShare(0.25, burst_s=0.02)
    now = taken = 0.0
    while now < 10.0:
        wait = account.wait_s(now)
        # Timers of the event loop have a resolution of a millisecond.
        now += max(wait, 0.001) if wait else 0.0
        if wait == 0:
            now += 0.002
            taken += 0.002
            account.charge(0.002, now)
    case.assertLessEqual(taken, 0.25 * now + 0.03)
    case.assertGreater(taken, 0.22 * now)
    case.assertEqual(account.wait_s(now + 1.0), 0.0)


def test_messages_of_peers_have_headroom(case):
    """Guards against an entry that loses its leader as callers fill all."""
    budget = RequestBudget(1000)
    served = holding(Phase.SERVED, 950, served_bytes=950)
    budget.add(served)
    case.assertTrue(budget.reserve(200))
    case.assertFalse(budget.reserve(200))
    case.assertEqual(budget.held_bytes, 1150)
    budget.release(200)
    case.assertEqual(budget.held_bytes, 950)
