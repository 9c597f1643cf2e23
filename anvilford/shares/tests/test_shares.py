"""Tests of the split of slots and connections."""

import random

from anvilford.shares import ConnectionSplit
from anvilford.shares import slot_share
from testkit import function_tests

load_tests = function_tests(__name__)


def test_slot_shares_add_up():
    """Guards against slots that nobody or that two entries may use."""
    rng = random.Random(3)
    for number in range(300):
        weights = {
            f"e{i}": rng.choice((0.5, 1.0, 2.0, 4.0))
            for i in range(rng.randint(1, 12))
        }
        total = sum(
            slot_share(8, weights, token, f"t{number}") for token in weights
        )
        assert total == 8, weights


def test_spare_slots_rotate(case):
    """Guards against one entry that gets the spare slot of every target."""
    weights = dict.fromkeys(("a", "b", "c"), 1.0)
    totals = {
        token: sum(slot_share(8, weights, token, f"t{n}") for n in range(24))
        for token in weights
    }
    case.assertTrue(all(56 <= total <= 72 for total in totals.values()), totals)


def test_connections_stay_within_the_target(case):
    """Guards against a 65th connection while views differ."""
    split = ConnectionSplit()
    home = split.entries_per_zone * split.limit(is_home=True)
    remote = split.remote_entries * split.limit(is_home=False)
    case.assertLessEqual(home + remote, 64)
    case.assertGreaterEqual(split.limit(is_home=True), 8)
