"""Tests of the merge of reports about evacuated zones, without I/O."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from anvilford.node._evacuations import EvacuatedZones
from anvilford.node._evacuations import MAX_REPORTED_ZONES
from anvilford.protocol import EvacuatedZone
from anvilford.protocol import EvacuationReport
from testkit import function_tests

load_tests = function_tests(__name__)


def report(as_of, **zones):
    """Returns a report of zones with the versions of their rows."""
    rows = tuple(EvacuatedZone(z, version) for z, version in zones.items())
    return EvacuationReport(as_of, rows)


def merged(*reports):
    """Returns the zones known after reports in order."""
    known = EvacuatedZones()
    for one in reports:
        known.merge(one)
    return known


def test_older_report_brings_a_removed_evacuation_back(case):
    """A zone that was taken back must not be evacuated by a late report.

    A member that was cut off, or a message that was held back, still names it.
    """
    known = merged(report(15, a=15), report(20), report(15, a=15))
    case.assertEqual(known.names, frozenset())
    case.assertEqual(known.as_of, 20)


def test_older_report_ends_a_newer_evacuation(case):
    """A zone must stay evacuated when a member reports that it knows none.

    That member has not read the row yet.
    """
    known = merged(report(15, a=15), report(12))
    case.assertEqual(known.names, {"a"})


def test_zone_that_is_evacuated_again_counts_as_removed(case):
    """The row of the second evacuation is newer than the removal of the first."""
    known = merged(report(20), report(30, a=25))
    case.assertEqual(known.names, {"a"})


def test_second_zone_replaces_the_first(case):
    """Two members that have each read another row must agree on both zones."""
    first, second = report(15, a=15), report(16, a=15, b=16)
    for reports in itertools.permutations((first, second, report(17, b=16))):
        case.assertEqual(merged(*reports).names, {"b"})
    case.assertEqual(merged(second, first).names, {"a", "b"})


def test_change_names_begun_and_ended_zones_once(case):
    """Log lines and counters must name each change, and no repeated report."""
    known = EvacuatedZones()
    change = known.merge(report(15, a=15))
    case.assertEqual(change.begun, (EvacuatedZone("a", 15),))
    change = known.merge(report(16, a=15))
    case.assertEqual((change.begun, change.ended), ((), ()))
    change = known.merge(report(18, b=18))
    case.assertEqual(change.begun, (EvacuatedZone("b", 18),))
    case.assertEqual(change.ended, (EvacuatedZone("a", 15),))


def test_too_many_zones_make_each_heartbeat_long(case):
    """A table full of rows must not be sent to hundreds of members.

    A part of the zones must not be sent either: the rest would count as taken
    back.
    """
    rows = {f"z{n}": 5 for n in range(MAX_REPORTED_ZONES + 1)}
    known = merged(report(5, **rows))
    case.assertIsNone(known.report())
    case.assertEqual(len(known.names), MAX_REPORTED_ZONES + 1)


# Changes of the table: the zone of a row that is written, or None and the zone
# of one that is removed.
changes = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12
)


def snapshots(changed):
    """Returns the report of each version of a table with these changes."""
    rows, reports = {}, [report(0)]
    for version, (zone, is_written) in enumerate(changed, 1):
        rows.pop(zone, None)
        if is_written:
            rows[zone] = version
        reports.append(report(version, **rows))
    return reports


def test_members_agree_on_the_newest_version_in_any_order(case):
    """No order, loss or repetition of reports may leave an old state.

    Whatever a member has heard, it must know the state of the newest report.
    """

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(changes, st.data())
    def check(changed, data):
        reports = snapshots(changed)
        heard = data.draw(
            st.lists(st.sampled_from(reports), min_size=1, max_size=8)
        )
        newest = max(heard, key=lambda one: one.as_of)
        known = merged(*heard)
        case.assertEqual(set(known.zones), set(newest.zones))
        case.assertEqual(known.as_of, newest.as_of)
        case.assertEqual(known.digest, merged(newest).digest)

    check()
