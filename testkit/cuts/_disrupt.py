"""Carries out the disruptions of a day on a running site."""

import asyncio
import collections
import math
import random
import signal
from collections.abc import Callable
from collections.abc import Iterable

from standins.runner import FakeTargetServer
from standins.site import LoopbackSite
from testkit.cuts._day import Burst
from testkit.cuts._day import Cut
from testkit.cuts._day import Disruption
from testkit.cuts._day import Drain
from testkit.cuts._day import EntryCut
from testkit.cuts._day import EntryKill
from testkit.cuts._day import LateMessages
from testkit.cuts._day import LateOrders
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import StoreCut
from testkit.cuts._day import TargetCrash
from testkit.cuts._day import TargetCut
from testkit.cuts._day import ZoneCut
from testkit.cuts._links import How
from testkit.cuts._links import LinkCut
from testkit.cuts._links import SiteLinks
from testkit.cuts._links import STORE

SHORTEST_STALL_S = 0.02
# Time after which all entries have read a cut; they read the links every 10 ms.
CUT_READ_S = 0.05
# Time between the exit of a target that drained and its next start.
EXIT_S = 0.3


class Disruptor:
    """Cuts links, and suspends and kills entries and targets.

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
        # Entries that are killed and not started yet.
        self._killed: set[str] = set()
        # Shares of late orders of the disruptions in force.
        self._late_shares: list[float] = []

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
        end = disruption.at + disruption.length
        match disruption:
            case Burst():
                pass  # The callers read it.
            case Stall():
                await self._stall(disruption)
            case LateOrders(share=share):
                self._late_shares.append(share)
                self._set_late_share()
                await asyncio.sleep(end - now())
                self._late_shares.remove(share)
                self._set_late_share()
            case EntryKill():
                await self._kill(disruption)
            case TargetCrash():
                await self._crash(disruption)
            case Drain():
                await self._drain(disruption)
            case _:
                cut, text = self._start_cut(disruption)
                self.log(
                    f"cut of {text}, {disruption.how.value}, for"
                    f" {disruption.length:.2f} s; {self.leader} leads"
                )
                if isinstance(disruption, TargetCut) and disruption.is_reborn:
                    await asyncio.sleep(disruption.length / 2)
                    await self._restart(cut.inside)
                await asyncio.sleep(end - now())
                self.links.heal(cut)
                self.log(f"cut of {text} ends; {self.leader} leads")

    def _set_late_share(self) -> None:
        share = max(self._late_shares, default=0.0)
        self.log(f"share of late orders: {share}")
        for server in self.site.targets:
            server.late_share = share

    @property
    def leader(self) -> str:
        """The leader in the store, or the first entry."""
        return self.site.leader_name() or next(iter(self.site.entries))

    def _start_cut(
        self, cut: Cut | TargetCut | StoreCut | LateMessages
    ) -> tuple[LinkCut, str]:
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
            case TargetCut():
                return self._cut_targets(cut)
            case LateMessages(share=share):
                leader = self.leader
                others = [n for n in self.site.entries if n != leader]
                count = math.ceil(share * len(others))
                others = sorted(self.rng.sample(others, count))
                link_cut = self.links.cut([leader], others, cut.how)
                return link_cut, f"{leader} from {' '.join(others)}"
            case StoreCut():
                count = math.ceil(cut.share * len(self.site.entries))
                names = self._choose_entries(cut.with_leader, count)
                link_cut = self.links.cut(names, [STORE], cut.how)
                return link_cut, f"{' '.join(names)} from the store"
        text = " ".join([*names, "(with store)" if with_store else ""])
        link_cut = self.links.cut_entries(names, cut.how, with_store)
        return link_cut, text.strip()

    def _cut_targets(self, cut: TargetCut) -> tuple[LinkCut, str]:
        names = [s.name for s in self._choose_targets(cut.share)]
        outside = list(self.site.entries)
        if cut.from_share is None:
            outside.append(STORE)
        else:
            count = math.ceil(cut.from_share * len(outside))
            outside = sorted(self.rng.sample(outside, count))
        text = f"{' '.join(names)} from {' '.join(outside)}"
        return self.links.cut(names, outside, cut.how), text

    def _choose_targets(self, share: float) -> list[FakeTargetServer]:
        """Returns a share of all targets, of those that do not drain."""
        count = math.ceil(share * len(self.site.targets))
        ready = [s for s in self.site.targets if s.state == "ready"]
        return self.rng.sample(ready, min(count, len(ready)))

    def _choose_entries(self, with_leader: bool, count: int) -> list[str]:
        names = list(self.site.entries)
        self.rng.shuffle(names)
        if with_leader:
            names.remove(self.leader)
            names.insert(0, self.leader)
        return names[:count]

    async def _kill(self, kill: EntryKill) -> None:
        """Kills entries, also suspended ones, and starts them again.

        One that is killed already is left to the earlier kill.
        """
        names = self._choose_entries(kill.with_leader, kill.count)
        names = [n for n in names if n not in self._killed]
        if not names:
            return
        self._killed.update(names)
        self.log(
            f"{' '.join(names)} killed for {kill.length:.2f} s;"
            f" {self.leader} leads"
        )
        if kill.is_dark:
            cut = self.links.cut(names, None, How.DROP)
            await asyncio.sleep(CUT_READ_S)
        for name in names:
            self.site.entries[name].stop()
        await asyncio.sleep(kill.length)
        if kill.is_dark:
            self.links.heal(cut)
        for name in names:
            self.site.entries[name].start()
        self._killed.difference_update(names)
        self.log(f"{' '.join(names)} started; {self.leader} leads")

    async def _crash(self, crash: TargetCrash) -> None:
        """Crashes targets; `TargetRows` writes the rows of the new ones."""
        servers = self._choose_targets(crash.share)
        names = [server.name for server in servers]
        self.log(f"{' '.join(names)} crash for {crash.length:.2f} s")
        cut = self.links.cut(names, None, crash.how)
        for server in servers:
            server.target.crash(server.now())
        await asyncio.sleep(crash.length)
        await self._restart(names)
        self.links.heal(cut)

    async def _drain(self, drain: Drain) -> None:
        """Lets targets drain and exit; `TargetRows` writes their rows."""
        servers = self._choose_targets(drain.share)
        names = [server.name for server in servers]
        text = " ".join(names)
        self.log(f"{text} drain for {drain.length:.2f} s; {self.leader} leads")
        self._set_states(servers, "draining")
        listed_s = drain.length * drain.listed_share
        await asyncio.sleep(listed_s)
        self._set_states(servers, "left")
        self.log(f"rows of {text} are gone")
        await asyncio.sleep(drain.length - listed_s)
        self.log(f"{text} exit; {self.leader} leads")
        cut = self.links.cut(names, None, How.REFUSED)
        for server in servers:
            server.target.crash(server.now())
        if drain.is_back:
            await asyncio.sleep(EXIT_S)
            await self._restart(names)
            self._set_states(servers, "ready")
            self.links.heal(cut)

    def _set_states(
        self, servers: Iterable[FakeTargetServer], state: str
    ) -> None:
        for server in servers:
            server.state = state

    async def _restart(self, names: Iterable[str]) -> None:
        self.log(f"{' '.join(sorted(names))} restart")
        # Otherwise orders that a cut held back would reach the new process.
        cut = self.links.cut(names, None, How.RESET)
        for server in self.site.targets:
            if server.name in names:
                server.restart()
        await asyncio.sleep(CUT_READ_S)
        self.links.heal(cut)

    async def _stall(self, stall: Stall) -> None:
        names = self._choose_entries(stall.with_leader, stall.count)
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
