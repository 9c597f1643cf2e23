"""Tests of the end of the runs of jobs whose callers are gone."""

from anvilford.order_model import PlacementSimulation
from anvilford.placement import OutcomeKind
from anvilford.placement import RunEnd
from anvilford.placement.tests._shared import job
from anvilford.placement.tests._shared import make_target
from testkit import function_tests

load_tests = function_tests(__name__)

# `retransmit_ms` of the users' sites.
RESUBMIT_PAUSE_S = 1.3


def lose_caller(misses_entries: bool, deadline_s: float = 9.0):
    """Returns a site whose only job, of 4 s, has just lost its caller.

    The target answers no stop, as if it had just been cut off.

    Args:
        misses_entries: Whether the placer misses an entry of the site.
        deadline_s: Time for which the caller would have waited.
    """
    site = PlacementSimulation([make_target("t")])
    site.job_deadline_s = deadline_s
    if misses_entries:
        site.faults.placers_missing_entries.add("site")
    site.add_placer("site", 1)
    site.run(0.1)
    lost = job(seconds=4.0)
    site.offer("site", lost)
    site.run(0.5)
    site.targets["t"].ignores_stops = True
    site.placers["site"].expect_resent_jobs((lost.job_id,), "entry", site.now)
    return site, lost


def test_job_of_a_lost_caller_runs_when_it_may_be_sent_again(case):
    """Guards against a second run of a job that was kept for its caller.

    The caller may reach an entry that follows another leader, which does not
    know the job.
    """
    site, lost = lose_caller(misses_entries=True)
    lost_at = site.now
    site.run(6.0)
    ((ended_at, _, _, how),) = site.targets["t"].ends
    case.assertEqual(how, RunEnd.LAPSED)
    case.assertLess(ended_at, lost_at + RESUBMIT_PAUSE_S)
    kinds = [outcome.kind for *_, outcome in site.outcomes]
    case.assertEqual(kinds, [OutcomeKind.LOST])


def test_kept_job_goes_on_after_an_entry_is_missed(case):
    """Guards against a second run of a kept job after the start of a cut.

    The entry that is missed has followed the placer until 2.0 s, and knows of
    the job. It may offer it to another leader, which waits for runs that end
    with the permission.
    """
    site, _ = lose_caller(misses_entries=False)
    site.schedule(2.0, site.faults.placers_missing_entries.add, "site")
    site.run(6.0)
    ((ended_at, _, _, how),) = site.targets["t"].ends
    case.assertEqual(how, RunEnd.LAPSED)
    case.assertGreater(ended_at, 2.5)
    lifetime = site.placers["site"].options.permission_lifetime
    case.assertLess(ended_at, 2.0 + lifetime)


def test_job_of_a_lost_caller_is_given_up_though_all_entries_follow(case):
    """Guards against work lost that the caller comes back for."""
    site, lost = lose_caller(misses_entries=False)
    site.run(2.5)
    site.offer("site", lost, entry="other")
    site.run(6.0)
    case.assertEqual([how for *_, how in site.targets["t"].ends], [RunEnd.DONE])
    kinds = [outcome.kind for *_, outcome in site.outcomes]
    case.assertEqual(kinds, [OutcomeKind.COMPLETED])


def test_run_has_the_lease_of_an_earlier_placer(case):
    """Guards against a second run of a task whose lease seems to have ended.

    A lease never shortens, and the one that another placer gave to a run that
    has ended since holds for the next run as well.
    """
    site = PlacementSimulation([make_target("t")])
    site.add_placer("first", 1)
    site.run(0.1)
    site.offer("first", job(seconds=0.3))
    site.run(0.9)
    claimed_at = site.now
    second = site.add_placer("second", 2)
    site.run(1.0)
    case.assertGreater(second.fleet.targets["t"].lease_end, claimed_at + 1.0)
