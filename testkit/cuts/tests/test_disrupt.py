"""Tests of disruptions of entries and targets that are test doubles."""

import asyncio
import collections
import pathlib
import random
import tempfile
import time
from collections.abc import Callable

import attrs

from standins.runner import FakeTargetServer
from standins.site import EntryProcess
from standins.site import LoopbackSite
from testkit import function_tests
from testkit.cuts import Drain
from testkit.cuts import EntryKill
from testkit.cuts import How
from testkit.cuts import LateMessages
from testkit.cuts import LateOrders
from testkit.cuts import SiteLinks
from testkit.cuts import StoreCut
from testkit.cuts import TargetCrash
from testkit.cuts import TargetCut
from testkit.cuts._disrupt import CUT_READ_S
from testkit.cuts._disrupt import Disruptor

load_tests = function_tests(__name__)

ENTRIES = 4
TARGETS = 10
LENGTH_S = 0.4


@attrs.define
class RecordedEntry(EntryProcess):
    """Entry that does not run, and counts its starts and ends.

    Attributes:
        events: "stop" and "start", in order.
    """

    events: list[str] = attrs.field(factory=list)

    def start(self) -> None:
        """Records a start."""
        self.events.append("start")

    def stop(self, number: int = 0) -> None:
        """Records an end."""
        self.events.append("stop")


async def play(disruptions: list, see: Callable, see_at: float) -> tuple:
    """Plays disruptions on a site whose entry "e2" leads.

    Args:
        disruptions: The disruptions.
        see: Called with the site and its links; the first element of the result
            is what it returns.
        see_at: Time of the call, in seconds.

    Returns:
        The result of `see`, and the site after the disruptions.
    """
    site = LoopbackSite(ENTRIES, TARGETS)
    site.store_address = "store"
    site.store.put("anvilford", "leader", {"leader": {"name": "e2"}})
    links = SiteLinks(site)
    disruptor = Disruptor(site, links, random.Random(1), lambda _: None)
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        for n in range(ENTRIES):
            path = pathlib.Path(folder) / f"e{n}.json"
            name = f"e{n}"
            site.entries[name] = RecordedEntry(
                name, "", "", "", name, path, path
            )
        async with asyncio.TaskGroup() as tasks:
            for n in range(TARGETS):
                server = FakeTargetServer(f"t{n}", "a", "line")
                site.targets.append(server)
                await server.__aenter__()
            tasks.create_task(
                disruptor.carry_out(
                    disruptions, lambda: time.monotonic() - started
                )
            )
            await asyncio.sleep(see_at)
            seen = see(site, links)
        for server in site.targets:
            await server.__aexit__()
        assert not links.cuts, links.cuts
        return seen, site


def count_events(site: LoopbackSite, *_: object) -> dict[str, list[str]]:
    """Returns what happened to each entry to which something did."""
    return {e.name: list(e.events) for e in site.entries.values() if e.events}


def test_killed_entries_start_again(case):
    """Guards against an entry that stays dead, or that is started twice."""
    for kill, count in (
        (EntryKill(0.0, LENGTH_S, True, 1, True), 1),
        (EntryKill(0.0, LENGTH_S, True, 2, False), 2),
        (EntryKill(0.0, LENGTH_S, False, ENTRIES, False), ENTRIES),
    ):
        # The second one finds some of them killed.
        again = EntryKill(LENGTH_S / 2, 0.0, True, 1)
        seen, site = asyncio.run(play([kill, again], count_events, 0.3))
        case.assertEqual(list(seen.values()), [["stop"]] * count, kill)
        case.assertIn("e2", seen)
        ends = [["stop", "start"]] * count
        case.assertEqual(list(count_events(site).values()), ends, kill)


def test_dark_entries_are_cut_off(case):
    """Guards against connections to a machine without power that are closed."""
    for is_dark in (False, True):
        kill = EntryKill(0.0, LENGTH_S, True, 1, is_dark)
        seen, _ = asyncio.run(
            play([kill], lambda _, links: list(links.cuts), LENGTH_S / 2)
        )
        case.assertEqual(len(seen), is_dark)
        for cut in seen:
            case.assertEqual((cut.inside, cut.how), ({"e2"}, How.DROP))
            case.assertEqual(len(cut.outside), ENTRIES + TARGETS)


def see_targets(site: LoopbackSite, links: SiteLinks) -> tuple:
    """Returns the targets that are down, and the incarnations."""
    down = [server.target.is_down for server in site.targets]
    lives = [server.incarnation for server in site.targets]
    return sum(down), lives, list(links.cuts)


def test_crashed_targets_return_as_new_incarnations(case):
    """Guards against a crash that leaves the runs, or the target, as it was."""
    for how in (How.RESET, How.DROP):
        crash = TargetCrash(0.0, LENGTH_S, 0.25, how)
        seen, site = asyncio.run(play([crash], see_targets, LENGTH_S / 2))
        down, lives, (cut,) = seen
        case.assertEqual((down, len(cut.inside), cut.how), (3, 3, how))
        case.assertEqual(len(cut.outside), ENTRIES + TARGETS + 1 - 3)
        down, after, _ = see_targets(site, SiteLinks(site))
        case.assertEqual(down, 0)
        changed = [a != b for a, b in zip(lives, after, strict=True)]
        case.assertEqual(sum(changed), 3)


def test_targets_are_cut_off_from_entries(case):
    """Guards against targets that are cut off from too few or too many."""
    for cut, outside, reborn in (
        (TargetCut(0.0, LENGTH_S, 0.2, How.DROP), ENTRIES + 1, 0),
        (TargetCut(0.0, LENGTH_S, 0.2, How.RESET, 0.5), 2, 0),
        (TargetCut(0.0, LENGTH_S, 0.2, How.RESET, None, True), ENTRIES + 1, 2),
    ):
        seen, site = asyncio.run(play([cut], see_targets, LENGTH_S / 4))
        down, lives, (link_cut,) = seen
        case.assertEqual((down, len(link_cut.inside)), (0, 2))
        case.assertEqual(len(link_cut.outside), outside)
        case.assertEqual(link_cut.how, cut.how)
        _, after, _ = see_targets(site, SiteLinks(site))
        changed = [a != b for a, b in zip(lives, after, strict=True)]
        case.assertEqual(sum(changed), reborn)


def see_states(site: LoopbackSite, _: SiteLinks) -> tuple:
    """Returns the states of the targets, and which of them are down."""
    return (
        [server.state for server in site.targets],
        [server.target.is_down for server in site.targets],
    )


def test_targets_that_drain(case):
    """Guards against targets that exit before their time, or drain twice.

    A second drain takes other targets.
    """
    drains = [
        Drain(0.0, LENGTH_S, 0.2, 0.5, True),
        Drain(0.02, 2 * LENGTH_S, 0.3, 0.9, True),
    ]
    for at, states, down in (
        (0.1, {"draining": 5, "ready": 5}, 0),
        (0.3, {"left": 2, "draining": 3, "ready": 5}, 0),
        (0.5, {"left": 2, "draining": 3, "ready": 5}, 2),
    ):
        seen, site = asyncio.run(play(drains, see_states, at))
        case.assertEqual(collections.Counter(seen[0]), states, at)
        case.assertEqual(sum(seen[1]), down, at)
        is_back = see_states(site, SiteLinks(site))
        case.assertEqual(is_back, (["ready"] * TARGETS, [False] * TARGETS))


def test_store_cuts(case):
    """Guards against entries that lose more than the store, or all of them."""
    for cut, count in (
        (StoreCut(0.0, LENGTH_S, 0.3, How.REFUSED, True), 2),
        (StoreCut(0.0, LENGTH_S, 1.0, How.UNAVAILABLE, False), ENTRIES),
    ):
        (link_cut,), _ = asyncio.run(
            play([cut], lambda _, links: list(links.cuts), LENGTH_S / 2)
        )
        case.assertEqual(len(link_cut.inside), count)
        case.assertIn("e2", link_cut.inside)
        case.assertEqual(link_cut.outside, {"store"})
        case.assertEqual(link_cut.how, cut.how)


def test_late_messages(case):
    """Guards against messages of others than the leader that are held back."""
    for how in (How.LATE, How.LATE_IN):
        late = LateMessages(0.0, LENGTH_S, 0.5, how)
        (link_cut,), _ = asyncio.run(
            play([late], lambda _, links: list(links.cuts), LENGTH_S / 2)
        )
        case.assertEqual((link_cut.inside, link_cut.how), ({"e2"}, how))
        case.assertEqual(len(link_cut.outside), 2)
        case.assertLess(link_cut.outside, {"e0", "e1", "e3"})


def test_connections_of_a_restarted_target_are_reset(case):
    """Guards against a new process that receives orders held back by a cut."""
    crash = TargetCrash(0.0, LENGTH_S, 0.1, How.DROP)
    seen, _ = asyncio.run(
        play(
            [crash],
            lambda _, links: {cut.how for cut in links.cuts},
            LENGTH_S + CUT_READ_S / 2,
        )
    )
    case.assertEqual(seen, {How.DROP, How.RESET})


def test_late_orders_overlap(case):
    """Guards against the end of one disruption that ends another one."""
    late = [LateOrders(0.0, 0.2, 0.1), LateOrders(0.1, LENGTH_S, 0.4)]
    for at, share in ((0.05, 0.1), (0.15, 0.4), (0.3, 0.4)):
        seen, site = asyncio.run(
            play(late, lambda site, _: site.targets[0].late_share, at)
        )
        case.assertEqual(seen, share)
        case.assertEqual({s.late_share for s in site.targets}, {0.0})
