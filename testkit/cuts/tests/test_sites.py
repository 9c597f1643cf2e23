"""Tests of the sites as data."""

from testkit import function_tests
from testkit.cuts import SITES

load_tests = function_tests(__name__)


def test_sites_have_the_users_zones_and_load(case):
    """Guards against a site that differs from the one of the users' record."""
    for name, entries, load in (
        ("kerlann-fill", [1, 3, 3, 1], 61.85),
        ("trama-norte", [3, 2, 2, 2], 62.0),
    ):
        site = SITES[name]
        case.assertEqual(list(site.entries.values()), entries, name)
        case.assertEqual(len(site.entry_zones), sum(entries), name)
        case.assertEqual(len(site.target_zones), 24, name)
        case.assertEqual(set(site.target_zones), set(site.entry_zones), name)
        total = sum(kind.per_s for kind in site.kinds)
        case.assertAlmostEqual(total, load, msg=name)
