"""Tests of the links of a site that are cut."""

import json
import pathlib
import tempfile

from standins.runner import FakeTargetServer
from standins.site import EntryProcess
from standins.site import LoopbackSite
from testkit import fixture
from testkit import function_tests
from testkit.cuts import How
from testkit.cuts import SiteLinks

ZONES = ("a", "a", "b", "c")


@fixture
def links():
    """Yields the links of a site that does not run.

    Its entries are "e0" to "e3" in `ZONES`, and its targets "ta", "tb", "tc".
    Their addresses are their names, and that of the store is "store".
    """
    site = LoopbackSite(len(ZONES), 3)
    site.entry_zones = list(ZONES)
    site.store_address = "store"
    with tempfile.TemporaryDirectory() as folder:
        for n in range(len(ZONES)):
            path = pathlib.Path(folder) / f"e{n}.json"
            name = f"e{n}"
            site.entries[name] = EntryProcess(
                name, "", "", "", name, path, path
            )
        for zone in "abc":
            target = FakeTargetServer(f"t{zone}", zone, "line")
            target.address = target.name
            site.targets.append(target)
        yield SiteLinks(site, 0.5)


load_tests = function_tests(__name__)


def read_links(links: SiteLinks, entry: str) -> str:
    """Returns what an entry cannot reach: "e2 tb:in", with how it is held."""
    path = links.site.entries[entry].settings_path.with_suffix(".links")
    blocked = json.loads(path.read_text(encoding="utf-8"))
    held = (f"{a}:{','.join(d)}" for a, d in blocked["held"].items())
    return " ".join(sorted([*blocked["reset"], *held]))


def test_both_sides_of_a_cut_are_told(case, links):
    """Guards against links that stay open, or that are cut without need."""
    zone_cut, entry_cut = links.cut_zone, links.cut_entries
    for start, inside, outside in (
        (lambda: zone_cut("a"), "e2 e3 store tb tc", "e0 e1 ta"),
        (
            lambda: zone_cut("a", How.DROP),
            "e2:in,out e3:in,out store:in,out tb:in,out tc:in,out",
            "e0:in,out e1:in,out ta:in,out",
        ),
        (
            lambda: zone_cut("a", How.ONE_WAY_OUT),
            "e2:out e3:out store:out tb:out tc:out",
            "e0:in e1:in ta:in",
        ),
        (
            lambda: zone_cut("a", How.ONE_WAY_IN),
            "e2:in e3:in store:in tb:in tc:in",
            "e0:out e1:out ta:out",
        ),
        (
            lambda: zone_cut("a", How.LATE_IN),
            "e2:in e3:in store:in tb:in tc:in",
            "e0:out e1:out ta:out",
        ),
        (lambda: links.cut_entry("e0"), "e1 e2 e3 store", "e0"),
        (
            lambda: entry_cut(["e0", "e1"], How.RESET, False),
            "e2 e3",
            "e0 e1",
        ),
    ):
        cut = start()
        case.assertEqual(read_links(links, "e0"), inside)
        case.assertEqual(read_links(links, "e3"), outside)
        links.heal(cut)
        case.assertEqual(read_links(links, "e0"), "")
        case.assertEqual(read_links(links, "e3"), "")


def test_cuts_overlap(case, links):
    """Guards against an end of one cut that ends another one."""
    first = links.cut_zone("a", How.DROP)
    second = links.cut_entries(["e0", "e1", "e2"], How.RESET, False)
    links.cut_entries(["e3"], How.ONE_WAY_OUT, True)
    case.assertEqual(read_links(links, "e3"), "e0 e1 e2 store:out ta:in,out")
    links.heal(second)
    case.assertEqual(
        read_links(links, "e3"),
        "e0:in,out e1:in,out e2:out store:out ta:in,out",
    )
    links.heal(first)
    case.assertEqual(read_links(links, "e3"), "e0:out e1:out e2:out store:out")
    links.heal()
    case.assertEqual(read_links(links, "e3"), "")


def read_fields(links: SiteLinks, entry: str) -> dict:
    """Returns what an entry reads of its links, without delays."""
    path = links.site.entries[entry].settings_path.with_suffix(".links")
    fields = json.loads(path.read_text(encoding="utf-8"))
    del fields["delays"]
    return fields


def test_store_turns_some_entries_away(case, links):
    """Guards against entries that are served during such a cut, or others not.

    Of two cuts of one link, the harder one counts.
    """
    links.unavailable_address = "other"
    plain = {"reset": [], "refused": [], "replaced": {}, "held": {}, "late": []}
    for how, change in (
        (How.REFUSED, {"refused": ["store"]}),
        (How.UNAVAILABLE, {"replaced": {"store": "other"}}),
        (How.DROP, {"held": {"store": ["in", "out"]}}),
        (How.RESET, {"reset": ["store"]}),
        (How.LATE, {"held": {"store": ["in", "out"]}, "late": ["store"]}),
    ):
        cut = links.cut(["e0", "e2"], ["store"], how)
        case.assertEqual(read_fields(links, "e2"), plain | change)
        case.assertEqual(read_fields(links, "e1"), plain)
        links.heal(cut)
        case.assertEqual(read_fields(links, "e2"), plain)
    for how in (How.UNAVAILABLE, How.DROP, How.REFUSED, How.RESET):
        links.cut(["e0"], ["store"], how)
        fields = read_fields(links, "e0")
        case.assertEqual(sum(bool(v) for v in fields.values()), 1, how)
    case.assertEqual(fields, plain | {"reset": ["store"]})


def test_zones_that_do_not_exist(case, links):
    """Guards against a day of another site that is played without its cuts."""
    with case.assertRaises(ValueError):
        links.cut_zone("d")
    with case.assertRaises(ValueError):
        links.entries_of("d")
