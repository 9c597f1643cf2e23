"""Random events of a simulated site."""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Iterable

from testkit.site_simulation._callers import Callers
from testkit.site_simulation._entry import EntryProcess
from testkit.site_simulation._entry import STOP_GRACE_S
from testkit.site_simulation._entry import Surroundings
from testkit.site_simulation._loop import VirtualLoop
from testkit.site_simulation._network import Block
from testkit.site_simulation._store import StoreMode
from testkit.site_simulation._targets import SimulatedTarget

# Range of the time for which an event lasts, in seconds.
DURATION_S = (0.3, 5.0)


class Events:
    """Draws events and carries them out.

    Attributes:
        rng: Determines the events.
        around: Network, store, targets and entries.
        callers: The callers.
        note: Receives the text of each event.
        add_target: Adds a target in a zone.
    """

    def __init__(
        self,
        rng: random.Random,
        around: Surroundings,
        callers: Callers,
        note: Callable[[str], None],
        add_target: Callable[[str], SimulatedTarget],
    ):
        self.rng = rng
        self.around = around
        self.callers = callers
        self.note = note
        self.add_target = add_target
        self._kinds = (
            (self._cut_zone, 5),
            (self._cut_entry, 3),
            (self._cut_pair, 2),
            (self._cut_target, 3),
            (self._take_store_away, 3),
            (self._cut_leader, 5),
            (self._suspend_entry, 1),
            (self._suspend_leader, 3),
            (self._kill_entry, 2),
            (self._stop_entry, 1),
            (self._drain_target, 2),
            (self._hide_target, 1),
            (self._crash_target, 2),
            (self._delay_orders, 2),
            (self._burst, 1),
        )

    async def run(self, until: float, mean_pause_s: float) -> None:
        """Carries out events up to a time, and waits for their ends."""
        loop = asyncio.get_running_loop()
        kinds, weights = zip(*self._kinds, strict=True)
        async with asyncio.TaskGroup() as events:
            while True:
                await asyncio.sleep(self.rng.expovariate(1 / mean_pause_s))
                if loop.time() >= until:
                    return
                (kind,) = self.rng.choices(kinds, weights)
                events.create_task(kind(self.rng.uniform(*DURATION_S)))

    # Helpers.

    @property
    def _entries(self) -> list[EntryProcess]:
        return list(self.around.processes.values())

    @property
    def _targets(self) -> list[SimulatedTarget]:
        return [
            target
            for target in self.around.targets.values()
            if not target.has_exited
        ]

    def _pick_leader(self) -> EntryProcess | None:
        """Returns an entry that leads now; None if there is none."""
        leaders = [
            entry
            for entry in self._entries
            if not entry.is_dead
            and entry.is_serving
            and entry.node.coordinator.driver is not None
        ]
        return self.rng.choice(leaders) if leaders else None

    async def _block(
        self,
        what: str,
        inside: Iterable[str],
        outside: Iterable[str],
        duration_s: float,
    ) -> None:
        """Blocks the paths between two sets of machines, in some directions."""
        inside, outside = list(inside), list(outside)
        kind = self.rng.choice(tuple(Block))
        direction = self.rng.choice(("both", "both", "out", "in"))
        pairs = []
        if direction != "in":
            pairs += [(a, b) for a in inside for b in outside]
        if direction != "out":
            pairs += [(b, a) for a in inside for b in outside]
        text = f"{what} {kind.value} ({direction})"
        self.note(f"{text} for {duration_s:.2f} s")
        end = self.around.network.block(pairs, kind)
        await asyncio.sleep(duration_s)
        end()
        self.note(f"{text} ends")

    # Events.

    async def _cut_zone(self, duration_s: float) -> None:
        zone = self.rng.choice(sorted({e.zone for e in self._entries}))
        inside = [e.name for e in self._entries if e.zone == zone]
        inside += [t.name for t in self._targets if t.model.record.zone == zone]
        outside = [e.name for e in self._entries if e.zone != zone]
        outside += [
            t.name for t in self._targets if t.model.record.zone != zone
        ]
        await self._block(f"zone {zone}", inside, outside, duration_s)

    async def _isolate(self, entry: EntryProcess, duration_s: float) -> None:
        others = [e.name for e in self._entries if e.name != entry.name]
        scope = self.rng.choice(("entries", "targets", "all"))
        names = {
            "entries": others,
            "targets": [t.name for t in self._targets],
        }
        outside = names.get(scope) or names["entries"] + names["targets"]
        if self.rng.random() < 0.4:
            outside = self.rng.sample(
                outside, self.rng.randint(1, len(outside))
            )
        await self._block(
            f"entry {entry.name} from {scope} {outside}",
            [entry.name],
            outside,
            duration_s,
        )

    async def _cut_entry(self, duration_s: float) -> None:
        await self._isolate(self.rng.choice(self._entries), duration_s)

    async def _cut_leader(self, duration_s: float) -> None:
        leader = self._pick_leader()
        if leader is not None:
            self.note(f"{leader.name} leads")
            await self._isolate(leader, duration_s)

    async def _cut_pair(self, duration_s: float) -> None:
        a, b = self.rng.sample([e.name for e in self._entries], 2)
        await self._block(f"pair {a} {b}", [a], [b], duration_s)

    async def _cut_target(self, duration_s: float) -> None:
        names = [e.name for e in self._entries]
        some = self.rng.sample(names, self.rng.randint(1, len(names)))
        targets = [t.name for t in self._targets]
        chosen = self.rng.sample(
            targets, self.rng.randint(1, min(3, len(targets)))
        )
        await self._block(
            f"targets {chosen} from {some}", some, chosen, duration_s
        )

    async def _take_store_away(self, duration_s: float) -> None:
        names = [e.name for e in self._entries]
        some = self.rng.sample(names, self.rng.randint(1, len(names)))
        mode = self.rng.choice(
            [mode for mode in StoreMode if mode is not StoreMode.SERVES]
        )
        duration_s *= self.rng.choice((1.0, 3.0))
        text = f"store {mode.value} for {some}"
        self.note(f"{text} for {duration_s:.2f} s")
        for name in some:
            self.around.store.modes.setdefault(name, []).append(mode)
        await asyncio.sleep(duration_s)
        for name in some:
            self.around.store.modes[name].remove(mode)
        self.note(f"{text} ends")

    async def _suspend(self, entry: EntryProcess, duration_s: float) -> None:
        if entry.is_suspended or entry.is_dead:
            return
        self.note(f"{entry.name} suspended for {duration_s:.2f} s")
        entry.is_suspended = True
        await asyncio.sleep(duration_s)
        if not entry.is_dead:
            self.note(f"{entry.name} resumed")
            loop: VirtualLoop = asyncio.get_running_loop()
            loop.resume(entry)

    async def _suspend_entry(self, duration_s: float) -> None:
        await self._suspend(self.rng.choice(self._entries), duration_s)

    async def _suspend_leader(self, duration_s: float) -> None:
        leader = self._pick_leader()
        if leader is not None:
            self.note(f"{leader.name} leads")
            await self._suspend(leader, duration_s)

    async def _kill_entry(self, duration_s: float) -> None:
        entry = self.rng.choice(self._entries)
        if entry.is_dead:
            return
        self.note(f"{entry.name} killed, restarts after {duration_s:.2f} s")
        entry.kill()
        await asyncio.sleep(duration_s)
        self.note(f"{entry.name} restarts")
        EntryProcess(entry.name, entry.zone, self.around).start()

    async def _stop_entry(self, duration_s: float) -> None:
        entry = self.rng.choice(self._entries)
        if entry.is_dead or entry.has_started_stop or not entry.is_serving:
            return
        self.note(f"{entry.name} stops as planned")
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + STOP_GRACE_S
        entry.begin_stop()
        while not entry.has_stopped and loop.time() < kill_at:
            await asyncio.sleep(0.05)
        if entry.is_dead:
            return  # Another event has killed it, and starts it again.
        self.note(f"{entry.name} has ended, restarts after {duration_s:.2f} s")
        entry.kill()
        await asyncio.sleep(duration_s)
        self.note(f"{entry.name} restarts")
        EntryProcess(entry.name, entry.zone, self.around).start()

    async def _drain_target(self, duration_s: float) -> None:
        target = self.rng.choice(self._targets)
        if target.model.record.draining or target.model.is_down:
            return
        self.note(f"target {target.name} drains")
        target.drain()
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        if target.model.is_down:
            return
        self.note(f"target {target.name} unlisted, exits in {duration_s:.2f} s")
        target.unlist()
        zone = target.model.record.zone
        await asyncio.sleep(duration_s)
        if not target.model.is_down:
            target.crash()
        target.has_exited = True
        self.note(f"target {target.name} has exited")
        self.note(f"target {self.add_target(zone).name} joins")

    async def _hide_target(self, duration_s: float) -> None:
        target = self.rng.choice(self._targets)
        if target.model.record.draining or not target.is_listed:
            return
        self.note(f"row of {target.name} expires for {duration_s:.2f} s")
        target.unlist()
        await asyncio.sleep(duration_s)
        if not target.has_exited and not target.model.record.draining:
            target.is_listed = True
            if not target.model.is_down:
                target.write_row()
            self.note(f"row of {target.name} is back")

    async def _crash_target(self, duration_s: float) -> None:
        target = self.rng.choice(self._targets)
        if target.model.record.draining or target.model.is_down:
            return
        self.note(f"target {target.name} crashes for {duration_s:.2f} s")
        target.crash()
        await asyncio.sleep(duration_s)
        self.note(f"target {target.name} is back under its id")
        target.restart()

    async def _delay_orders(self, duration_s: float) -> None:
        chosen = self.rng.sample(
            self._targets, self.rng.randint(1, len(self._targets))
        )
        share = self.rng.uniform(0.05, 0.6)
        self.note(
            f"orders late at {[t.name for t in chosen]}, share {share:.2f},"
            f" for {duration_s:.2f} s"
        )
        for target in chosen:
            target.late_share = share
        await asyncio.sleep(duration_s)
        for target in chosen:
            target.late_share = 0.0
        self.note("orders in time again")

    async def _burst(self, duration_s: float) -> None:
        factor = self.rng.uniform(2.0, 4.0)
        self.note(f"burst of factor {factor:.1f} for {duration_s:.2f} s")
        self.callers.traffic.per_s *= factor
        await asyncio.sleep(duration_s)
        self.callers.traffic.per_s /= factor
        self.note("burst ends")
