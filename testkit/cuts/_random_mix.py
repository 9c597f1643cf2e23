"""Draws disruptions that come together with a change of the leader."""

import random
from collections.abc import Callable

from testkit.cuts._day import Disruption
from testkit.cuts._day import Drain
from testkit.cuts._day import EntryCut
from testkit.cuts._day import EntryKill
from testkit.cuts._day import LateMessages
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import StoreCut
from testkit.cuts._day import ZoneCut
from testkit.cuts._links import How
from testkit.cuts._sites import CutSite

# Pause before a group of disruptions.
PAUSE_S = (1.0, 6.0)
# Range of the cuts that change the leader.
CUT_S = (0.4, 8.0)
CUT_HOWS = (How.RESET, How.DROP, How.LATE, How.LATE_IN)
# Range of the pause between a first change of the leader and a second one.
SECOND_S = (0.3, 3.0)
# Start and length of the others, from the first change of the leader.
STORE_BEFORE_S = 5.0
STORE_AFTER_S = 1.0
STORE_S = (3.0, 15.0)
STORE_HOWS = (How.REFUSED, How.RESET, How.UNAVAILABLE, How.DROP)
STORE_SHARES = (0.15, 0.7)
DRAIN_BEFORE_S = 4.0
DRAIN_AFTER_S = 1.0
DRAIN_S = (1.5, 8.0)
DRAIN_SHARES = (0.05, 0.2)
LISTED_SHARES = (0.1, 0.9)
DRAIN_PAUSE_S = (0.2, 2.0)
LATE_BEFORE_S = 1.5
LATE_AFTER_S = 0.5
LATE_S = (0.3, 4.0)
LATE_SHARES = (0.2, 1.0)
# Suspensions that are too short for a leader to step down, and longer ones.
SHORT_STALL_S = (0.3, 0.45)
LONG_STALL_S = (0.45, 3.0)


class MixDrawer:
    """Draws groups of disruptions around changes of the leader.

    Attributes:
        site: The site.
        rng: Draws them.
        disruptions: Disruptions so far.
    """

    def __init__(self, site: CutSite, rng: random.Random):
        self.site = site
        self.rng = rng
        self.disruptions: list[Disruption] = []

    def draw(self, length_s: float) -> None:
        """Draws groups that start within the given time."""
        at = self.rng.uniform(*PAUSE_S)
        while at < length_s:
            at = self._add_group(at) + self.rng.uniform(*PAUSE_S)

    def _add_group(self, at: float) -> float:
        """Adds two or three kinds around a change of the leader.

        Returns:
            End of the last change of the leader.
        """
        rng = self.rng
        kinds: list[Callable[[float], None]] = [
            self._add_store_cut,
            self._add_drains,
            self._add_late_messages,
            self._add_short_stalls,
        ]
        for add in rng.sample(kinds, rng.choice((2, 2, 3))):
            add(at)
        end = self._add_change(at)
        if rng.random() < 0.5:
            end = max(end, self._add_change(at + rng.uniform(*SECOND_S)))
        return end

    def _add(self, disruption: Disruption) -> float:
        self.disruptions.append(disruption)
        return disruption.at + disruption.length

    def _near(self, at: float, before: float, after: float) -> float:
        return max(0.0, at + self.rng.uniform(-before, after))

    def _add_change(self, at: float) -> float:
        """Adds what changes the leader, and returns its end."""
        rng = self.rng
        seconds, how = rng.uniform(*CUT_S), rng.choice(CUT_HOWS)
        with_store = rng.random() < 0.5
        zone = rng.choice(list(self.site.entries))
        match rng.randrange(10):
            case 0 | 1 | 2 | 3:
                return self._add(LeaderCut(at, seconds, how, with_store))
            case 4 | 5:
                return self._add(ZoneCut(at, seconds, zone, how))
            case 6:
                zone = rng.choice((zone, None))
                cut = EntryCut(at, seconds, zone, how, with_store)
                return self._add(cut)
            case 7:
                is_dark = rng.random() < 0.5
                seconds = seconds if is_dark else 0.0
                return self._add(EntryKill(at, seconds, True, 1, is_dark))
        return self._add(Stall(at, rng.uniform(*LONG_STALL_S)))

    def _add_store_cut(self, at: float) -> None:
        rng = self.rng
        share = round(rng.uniform(*STORE_SHARES), 2)
        how, with_leader = rng.choice(STORE_HOWS), rng.random() < 0.6
        start = self._near(at, STORE_BEFORE_S, STORE_AFTER_S)
        seconds = rng.uniform(*STORE_S)
        self._add(StoreCut(start, seconds, share, how, with_leader))

    def _add_drains(self, at: float) -> None:
        """Adds drains of several targets in turn."""
        rng = self.rng
        start = self._near(at, DRAIN_BEFORE_S, DRAIN_AFTER_S)
        for _ in range(rng.randint(1, 3)):
            share = round(rng.uniform(*DRAIN_SHARES), 2)
            listed_share = round(rng.uniform(*LISTED_SHARES), 2)
            # Most of them return, so that the site keeps its capacity.
            is_back = rng.random() < 0.9
            seconds = rng.uniform(*DRAIN_S)
            self._add(Drain(start, seconds, share, listed_share, is_back))
            start += rng.uniform(*DRAIN_PAUSE_S)

    def _add_late_messages(self, at: float) -> None:
        rng = self.rng
        for _ in range(rng.randint(1, 2)):
            start = self._near(at, LATE_BEFORE_S, LATE_AFTER_S)
            share = round(rng.uniform(*LATE_SHARES), 2)
            how = rng.choice((How.LATE, How.LATE_IN))
            seconds = rng.uniform(*LATE_S)
            self._add(LateMessages(start, seconds, share, how))

    def _add_short_stalls(self, at: float) -> None:
        rng = self.rng
        for _ in range(rng.randint(1, 3)):
            start = self._near(at, LATE_BEFORE_S, LATE_BEFORE_S)
            self._add(Stall(start, rng.uniform(*SHORT_STALL_S)))
