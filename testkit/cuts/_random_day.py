"""Draws days of disruptions from a seed."""

import math
import random
from collections.abc import Callable

import attrs

from testkit.cuts._day import Burst
from testkit.cuts._day import Cut
from testkit.cuts._day import Disruption
from testkit.cuts._day import EntryCut
from testkit.cuts._day import EntryKill
from testkit.cuts._day import LateOrders
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import TargetCrash
from testkit.cuts._day import TargetCut
from testkit.cuts._day import ZoneCut
from testkit.cuts._links import How
from testkit.cuts._random_mix import MixDrawer
from testkit.cuts._sites import CutSite

PLAIN_HOWS = (How.RESET, How.DROP, How.ONE_WAY_OUT, How.ONE_WAY_IN)
# Range of the cuts. The product's waits are 0.25 to 20 s.
CUT_S = (1.0, 40.0)
# Range of the cuts of a series, and of the pauses between them.
SERIES_CUT_S = (1.0, 8.0)
SERIES_PAUSE_S = (0.2, 3.0)
SERIES_LENGTHS = (2, 5)
STALL_S = (0.1, 5.0)
# Pause after a cut or a series, and before the first one.
PAUSE_S = (1.0, 10.0)
BURST_S = (2.0, 6.0)
BURST_FACTORS = (1.5, 3.0)
# Time within which a suspension follows the start or the end of a cut.
NEAR_S = 1.5
# Pause between the starts of crashes, cuts of targets and late orders, and their
# lengths; those of cuts are `CUT_S`.
CRASH_PAUSE_S = (2.0, 10.0)
CRASH_S = (0.5, 8.0)
LATE_S = (2.0, 10.0)
TARGET_SHARES = (0.05, 0.4)
FROM_SHARES = (0.1, 0.9)
LATE_SHARES = (0.1, 0.5)


class DayDrawer:
    """Draws the disruptions of one day.

    Attributes:
        site: The site.
        rng: Draws them.
        longest_cut_s: Longest cut in seconds.
        disruptions: Disruptions so far.
    """

    def __init__(self, site: CutSite, rng: random.Random, longest_cut_s: float):
        self.site = site
        self.rng = rng
        self.longest_cut_s = longest_cut_s
        self.disruptions: list[Disruption] = []

    def draw(self, length_s: float) -> None:
        """Draws disruptions that start within the given time."""
        at = self.rng.uniform(*PAUSE_S)
        while at < length_s:
            match self.rng.randrange(10):
                case 0 | 1 | 2 | 3:
                    end = self._add_cut(at, self._draw_cut_s())
                case 4 | 5 | 6:
                    end = self._add_series(at)
                case 7 | 8:
                    end = self._add_overlap(at)
                case _:
                    end = self._add_stall(at)
            at = end + self.rng.uniform(*PAUSE_S)

    def _draw_cut_s(self) -> float:
        """Returns the length of a cut; each order of magnitude is as likely."""
        shortest, longest = CUT_S[0], min(CUT_S[1], self.longest_cut_s)
        return math.exp(self.rng.uniform(math.log(shortest), math.log(longest)))

    def _draw_cut(self) -> Callable[[float, float], Cut]:
        """Returns a function that makes a cut of a drawn kind."""
        how = self.rng.choice(PLAIN_HOWS)
        zone = self.rng.choice(list(self.site.entries))
        with_store = self.rng.random() < 0.5
        match self.rng.randrange(10):
            case 0 | 1 | 2 | 3 | 4:
                return lambda at, s: ZoneCut(at, s, zone, how)
            case 5 | 6:
                return lambda at, s: LeaderCut(at, s, how, with_store)
            case 7 | 8:
                return lambda at, s: EntryCut(at, s, zone, how, with_store)
        return lambda at, s: EntryCut(at, s, None, how, with_store)

    def _add_cut(self, at: float, seconds: float) -> float:
        """Adds a cut, and at times a suspension or a burst near it."""
        self.disruptions.append(self._draw_cut()(at, seconds))
        match self.rng.randrange(4):
            case 0:
                near = self.rng.choice((at, at + seconds))
                near += self.rng.uniform(-NEAR_S, NEAR_S)
                self._add_stall(max(near, 0.0))
            case 1:
                kind = self.rng.choice([None, *self.site.kinds])
                self.disruptions.append(
                    Burst(
                        at,
                        self.rng.uniform(*BURST_S),
                        kind and kind.name,
                        self.rng.uniform(*BURST_FACTORS),
                    )
                )
        return at + seconds

    def _add_series(self, at: float) -> float:
        """Adds short cuts in quick succession, all alike or of any kind."""
        cut = self._draw_cut()
        is_alike = self.rng.random() < 0.5
        for _ in range(self.rng.randint(*SERIES_LENGTHS)):
            seconds = self.rng.uniform(*SERIES_CUT_S)
            seconds = min(seconds, self.longest_cut_s)
            self.disruptions.append(cut(at, seconds))
            at += seconds + self.rng.uniform(*SERIES_PAUSE_S)
            cut = cut if is_alike else self._draw_cut()
        return at

    def _add_overlap(self, at: float) -> float:
        """Adds two cuts of which the second starts during the first."""
        first_s, second_s = self._draw_cut_s(), self._draw_cut_s()
        second_at = at + self.rng.uniform(0.0, first_s)
        self._add_cut(at, first_s)
        return max(at + first_s, self._add_cut(second_at, second_s))

    def _add_stall(self, at: float) -> float:
        seconds = self.rng.uniform(*STALL_S)
        with_leader = self.rng.random() < 0.7
        count = self.rng.choice((1, 1, 1, 2))
        self.disruptions.append(Stall(at, seconds, with_leader, count))
        return at + seconds

    def add_crashes(self, length_s: float) -> None:
        """Adds the kinds that `draw` leaves out, half of them near others."""
        edges = [t for d in self.disruptions for t in (d.at, d.at + d.length)]
        at = self.rng.uniform(*CRASH_PAUSE_S)
        while at < length_s:
            near = at
            if edges and self.rng.random() < 0.5:
                near = self.rng.choice(edges)
                near += self.rng.uniform(-NEAR_S, NEAR_S)
            self.disruptions.append(self._draw_crash(max(near, 0.0)))
            at += self.rng.uniform(*CRASH_PAUSE_S)

    def _draw_crash(self, at: float) -> Disruption:
        rng = self.rng
        seconds = rng.uniform(*CRASH_S)
        share = round(rng.uniform(*TARGET_SHARES), 2)
        match rng.randrange(10):
            case 0 | 1 | 2 | 3:
                is_dark = rng.random() < 0.5
                seconds = seconds if is_dark else 0.0
                with_leader = rng.random() < 0.5
                count = rng.choice((1, 1, 1, 2))
                return EntryKill(at, seconds, with_leader, count, is_dark)
            case 4 | 5:
                how = rng.choice((How.RESET, How.DROP))
                return TargetCrash(at, seconds, share, how)
            case 6 | 7 | 8:
                seconds, how = self._draw_cut_s(), rng.choice(PLAIN_HOWS)
                from_share = rng.choice(
                    (None, round(rng.uniform(*FROM_SHARES), 2))
                )
                is_reborn = rng.random() < 0.3
                return TargetCut(at, seconds, share, how, from_share, is_reborn)
        late_share = round(rng.uniform(*LATE_SHARES), 2)
        return LateOrders(at, rng.uniform(*LATE_S), late_share)


def draw_day(
    site: CutSite,
    seed: int,
    length_s: float = 60.0,
    longest_cut_s: float = CUT_S[1],
    all_kinds: bool = False,
    mixes: bool = False,
) -> list[Disruption]:
    """Returns the disruptions of a day that a seed determines, by time.

    Args:
        site: The site.
        seed: The seed.
        length_s: Time within which they start, in seconds.
        longest_cut_s: Longest cut in seconds.
        all_kinds: Whether entries and targets crash, too, targets are cut off,
            and orders are late. The other disruptions stay the same.
        mixes: Whether it also has store cuts, drains, late messages and short
            suspensions around changes of the leader.
    """
    drawer = DayDrawer(site, random.Random(f"day {seed}"), longest_cut_s)
    drawer.draw(length_s)
    if all_kinds:
        drawer.rng = random.Random(f"crashes {seed}")
        drawer.add_crashes(length_s)
    if mixes:
        mix = MixDrawer(site, random.Random(f"mixes {seed}"))
        mix.draw(length_s)
        drawer.disruptions += mix.disruptions
    rounded = [
        attrs.evolve(d, at=round(d.at, 2), length=round(d.length, 2))
        for d in drawer.disruptions
    ]
    rounded = [
        attrs.evolve(d, factor=round(d.factor, 2))
        if isinstance(d, Burst)
        else d
        for d in rounded
    ]
    return sorted(rounded, key=lambda d: d.at)
