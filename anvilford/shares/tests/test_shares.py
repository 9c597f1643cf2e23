"""Tests for the division of slots and connections among entries."""

import random

from anvilford.shares import ConnectionSplit
from anvilford.shares import slot_share
from testkit import function_tests

load_tests = function_tests(__name__)


def test_slot_shares_add_up():
    """The shares of all entries must add up to the slots of the target.

    With a smaller sum a slot stays unused, and with a larger one two entries
    use the same slot.
    """
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


def test_remaining_slots_rotate_among_entries(case):
    """The remaining slots of different targets must go to different entries.

    With a tie-break that does not depend on the target, one entry would get
    the remaining slot of every target.
    """
    weights = dict.fromkeys(("a", "b", "c"), 1.0)
    totals = {
        token: sum(slot_share(8, weights, token, f"t{n}") for n in range(24))
        for token in weights
    }
    case.assertTrue(all(56 <= total <= 72 for total in totals.values()), totals)


def test_connections_stay_within_the_target(case):
    """All entries together must open at most 64 connections to a target.

    The limit must hold even while entries disagree on the membership.
    """
    split = ConnectionSplit()
    home = split.entries_per_zone * split.limit(is_home=True)
    remote = split.remote_entries * split.limit(is_home=False)
    case.assertLessEqual(home + remote, 64)
    case.assertGreaterEqual(split.limit(is_home=True), 8)
