"""Carries out the disruptions of a day on a running site."""

import asyncio
import collections
import random
import signal
from collections.abc import Callable

from standins.site import LoopbackSite
from testkit.cuts._day import Burst
from testkit.cuts._day import Cut
from testkit.cuts._day import Disruption
from testkit.cuts._day import EntryCut
from testkit.cuts._day import LateOrders
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import ZoneCut
from testkit.cuts._links import LinkCut
from testkit.cuts._links import SiteLinks

SHORTEST_STALL_S = 0.02


class Disruptor:
    """Cuts links and suspends entries.

    Attributes:
        site: The site.
        links: Its links.
        rng: Chooses entries.
        log: Receives what happened.
    """

    def __init__(
        self,
        site: LoopbackSite,
        links: SiteLinks,
        rng: random.Random,
        log: Callable[[str], None],
    ):
        self.site = site
        self.links = links
        self.rng = rng
        self.log = log
        self._suspended: collections.Counter = collections.Counter()

    async def carry_out(
        self, disruptions: list[Disruption], now: Callable[[], float]
    ) -> None:
        """Carries out the disruptions of a day; they may overlap.

        Args:
            disruptions: The disruptions.
            now: Returns the seconds since the start of traffic.
        """
        async with asyncio.TaskGroup() as tasks:
            for disruption in disruptions:
                tasks.create_task(self._carry_out(disruption, now))

    async def _carry_out(
        self, disruption: Disruption, now: Callable[[], float]
    ) -> None:
        await asyncio.sleep(disruption.at - now())
        match disruption:
            case Burst():
                pass  # The callers read it.
            case Stall():
                await self._stall(disruption)
            case LateOrders(share=share):
                self._set_late_share(share)
                await asyncio.sleep(disruption.at + disruption.length - now())
                self._set_late_share(0.0)
            case _:
                cut, text = self._start_cut(disruption)
                self.log(
                    f"cut of {text}, {disruption.how.value}, for"
                    f" {disruption.length:.2f} s; {self.leader} leads"
                )
                await asyncio.sleep(disruption.at + disruption.length - now())
                self.links.heal(cut)
                self.log(f"cut of {text} ends; {self.leader} leads")

    def _set_late_share(self, share: float) -> None:
        self.log(f"share of late orders: {share}")
        for server in self.site.targets:
            server.late_share = share

    @property
    def leader(self) -> str:
        """The leader in the store, or the first entry."""
        return self.site.leader_name() or next(iter(self.site.entries))

    def _start_cut(self, cut: Cut) -> tuple[LinkCut, str]:
        """Starts a cut; returns it and what is cut off."""
        match cut:
            case ZoneCut(zone=zone):
                return self.links.cut_zone(zone, cut.how), zone
            case LeaderCut(with_store=with_store):
                names = [self.leader]
            case EntryCut(zone=None, with_store=with_store):
                names = list(self.site.entries)
                names = sorted(self.rng.sample(names, len(names) // 2))
            case EntryCut(zone=zone, with_store=with_store):
                names = self.links.entries_of(zone)
        text = " ".join([*names, "(with store)" if with_store else ""])
        link_cut = self.links.cut_entries(names, cut.how, with_store)
        return link_cut, text.strip()

    async def _stall(self, stall: Stall) -> None:
        names = list(self.site.entries)
        self.rng.shuffle(names)
        if stall.with_leader:
            names.remove(self.leader)
            names.insert(0, self.leader)
        names = names[: stall.count]
        self.log(f"{' '.join(names)} suspended for {stall.length:.2f} s")
        await asyncio.gather(*(self._suspend(n, stall.length) for n in names))

    async def stall_at_random(self, per_s: float, longest_s: float) -> None:
        """Suspends random entries for a moment, as on a busy machine.

        Args:
            per_s: Mean number of suspensions each second.
            longest_s: Longest suspension in seconds.
        """
        async with asyncio.TaskGroup() as tasks:
            while per_s:
                await asyncio.sleep(self.rng.expovariate(per_s))
                name = self.rng.choice(list(self.site.entries))
                seconds = self.rng.uniform(SHORTEST_STALL_S, longest_s)
                tasks.create_task(self._suspend(name, seconds))

    async def _suspend(self, name: str, seconds: float) -> None:
        """Suspends an entry; the last of several at once lets it go on."""
        self.site.entries[name].send_signal(signal.SIGSTOP)
        self._suspended[name] += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._suspended[name] -= 1
            if not self._suspended[name]:
                self.site.entries[name].send_signal(signal.SIGCONT)
