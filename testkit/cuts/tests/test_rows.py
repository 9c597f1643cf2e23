"""Tests of the rows of targets that are cut off or restart."""

from standins.runner import FakeTargetServer
from standins.site import LoopbackSite
from testkit import fixture
from testkit import function_tests
from testkit.cuts import How
from testkit.cuts import LAPSE_S
from testkit.cuts import SiteLinks
from testkit.cuts import TargetRows

RETURN_S = 1.0


@fixture
def rows():
    """Yields rows of a site that does not run, of the targets "ta" and "tb"."""
    site = LoopbackSite()
    for zone in "ab":
        target = FakeTargetServer(f"t{zone}", zone, "line")
        target.address = target.name
        target.register(site.store)
        site.targets.append(target)
    yield TargetRows(SiteLinks(site), lambda: RETURN_S)


load_tests = function_tests(__name__)


def listed(rows: TargetRows, now: float) -> str:
    """Updates the rows and returns the names of the targets listed."""
    rows.update(now)
    site = rows.links.site
    names = [server.name for server in site.targets]
    return " ".join(n for n in names if site.store.get("servers", n))


def cut_off(rows: TargetRows, name: str):
    """Cuts a target off from all machines."""
    return rows.links.cut([name], None, How.RESET)


def test_rows_lapse_and_return(case, rows):
    """Guards against targets that stay listed for the whole of a cut.

    No play could show what entries forget about those that are not listed.
    """
    case.assertEqual(listed(rows, 10.0), "ta tb")
    cut = cut_off(rows, "ta")
    case.assertEqual(listed(rows, 20.0), "ta tb")
    case.assertEqual(listed(rows, 20.0 + LAPSE_S - 0.1), "ta tb")
    case.assertEqual(listed(rows, 20.0 + LAPSE_S), "tb")
    case.assertEqual(listed(rows, 60.0), "tb")
    rows.links.heal(cut)
    case.assertEqual(listed(rows, 60.1), "tb")
    case.assertEqual(listed(rows, 60.0 + RETURN_S), "tb")
    case.assertEqual(listed(rows, 60.1 + RETURN_S), "ta tb")


def test_short_cuts_do_not_add_up(case, rows):
    """Guards against a row that lapses in a cut shorter than `LAPSE_S`."""
    for at in (10.0, 14.0, 18.0):
        cut = cut_off(rows, "ta")
        case.assertEqual(listed(rows, at), "ta tb")
        case.assertEqual(listed(rows, at + LAPSE_S - 1.0), "ta tb")
        rows.links.heal(cut)
        case.assertEqual(listed(rows, at + LAPSE_S - 0.9), "ta tb")


def test_rows_do_not_return_during_a_second_cut(case, rows):
    """Guards against a row that returns while the target is cut off again."""
    cut = cut_off(rows, "ta")
    listed(rows, 10.0)
    case.assertEqual(listed(rows, 10.0 + LAPSE_S), "tb")
    rows.links.heal(cut)
    case.assertEqual(listed(rows, 20.0), "tb")
    cut = cut_off(rows, "ta")
    case.assertEqual(listed(rows, 20.5), "tb")
    case.assertEqual(listed(rows, 20.0 + RETURN_S), "tb")
    rows.links.heal(cut)
    case.assertEqual(listed(rows, 30.0), "tb")
    case.assertEqual(listed(rows, 30.0 + RETURN_S), "ta tb")


def test_rows_of_restarted_targets(case, rows):
    """Guards against targets whose rows stay those of an earlier incarnation.

    A target that restarts behind a cut is listed once it reaches the store.
    """
    site = rows.links.site
    for is_cut in (False, True):
        cut = cut_off(rows, "ta") if is_cut else None
        site.targets[0].incarnation += 1
        born = site.targets[0].incarnation
        listed(rows, 10.0)
        listed(rows, 10.0 + RETURN_S)
        row = site.store.get("servers", "ta")
        case.assertEqual(row["born"] == born, not is_cut)
        if cut:
            rows.links.heal(cut)
            listed(rows, 20.0)
            listed(rows, 20.0 + RETURN_S)
            case.assertEqual(site.store.get("servers", "ta")["born"], born)


def test_rows_of_targets_that_drain(case, rows):
    """Guards against a target that drains and stays listed as ready.

    Its row says so, and returns to the list only with the next process. Behind a
    cut the store hears of neither.
    """
    server = rows.links.site.targets[0]
    store = rows.links.site.store
    listed(rows, 10.0)
    cut = cut_off(rows, "ta")
    server.state = "draining"
    case.assertEqual(listed(rows, 10.1), "ta tb")
    case.assertEqual(store.get("servers", "ta")["state"], "ready")
    rows.links.heal(cut)
    case.assertEqual(listed(rows, 10.2), "ta tb")
    case.assertEqual(store.get("servers", "ta")["state"], "draining")
    server.state = "left"
    case.assertEqual(listed(rows, 10.3), "tb")
    case.assertEqual(listed(rows, 60.0), "tb")
    server.state = "ready"
    server.incarnation += 1
    case.assertEqual(listed(rows, 61.0), "tb")
    case.assertEqual(listed(rows, 61.0 + RETURN_S), "ta tb")
    case.assertEqual(store.get("servers", "ta")["state"], "ready")
