"""Targets of the simulated site, and the client of an entry."""

import asyncio
import json
import random
from collections.abc import Callable

import attrs

from anvilford.order_model import FakeTarget
from anvilford.placement import NoAnswer
from anvilford.placement import NotSent
from anvilford.placement import Poll
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import Restarted
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord
from anvilford.platform import TARGET_TABLE
from testkit.site_simulation._loop import run_outside
from testkit.site_simulation._loop import SimulatedProcess
from testkit.site_simulation._network import Network
from testkit.site_simulation._store import SimulatedStore

STOP_TIME_S = 0.05
# Time between two rows that a target writes about itself.
ROW_INTERVAL_S = 1.5
# Range of the delay of an order that is carried out late, in seconds.
LATE_ORDER_S = (0.1, 8.0)
# Share of the orders into a cut that had a connection, so that the kernel
# repeats them and they may arrive after the cut.
SENT_INTO_CUT_SHARE = 0.5


class SimulatedTarget:
    """A target whose clock may run too fast or too slow.

    Attributes:
        name: Its id.
        model: Rules of the target, in seconds of the target's clock.
        rate: Seconds of the target's clock in a second.
        store: The store, in which it writes its row.
        is_listed: Whether it has a row.
        has_exited: True once it has left for good.
        late_share: Share of the orders that are carried out late and get no
            answer.
    """

    def __init__(
        self, record: TargetRecord, rate: float, store: SimulatedStore
    ):
        self.name = record.target_id
        self.model = FakeTarget(record)
        # Only starts name the process for which they are meant.
        self.model.accepts_any_incarnation = True
        self.rate = rate
        self.store = store
        self.is_listed = True
        self.has_exited = False
        self.late_share = 0.0
        self._changed = asyncio.Event()

    def now(self) -> float:
        """Returns the time on the target's clock, in seconds."""
        return asyncio.get_running_loop().time() * self.rate

    def wake(self) -> None:
        """Wakes the polls that wait for an end."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Writes the row of the target until it leaves."""
        while not self.has_exited:
            if self.is_listed and not self.model.is_down:
                self.write_row()
            await asyncio.sleep(ROW_INTERVAL_S)

    def write_row(self) -> None:
        """Writes the row of the target."""
        record = self.model.record
        row = {
            "service": record.service,
            "address": record.address,
            "zone": record.zone,
            "state": "draining" if record.draining else "ready",
            "born": record.incarnation,
            "capacity": {
                "cpu": record.capacity.cpu_millis,
                "mem_mb": record.capacity.memory_mb,
            },
        }
        self.store.put(TARGET_TABLE, self.name, json.dumps(row).encode())

    def unlist(self) -> None:
        """Removes the row; runs go on."""
        self.is_listed = False
        self.store.delete(TARGET_TABLE, self.name)

    def drain(self) -> None:
        """Announces that the target will leave."""
        self.model.record = attrs.evolve(self.model.record, draining=True)
        self.write_row()

    def crash(self) -> None:
        """Ends the process and all of its runs."""
        self.model.crash(self.now())
        self.wake()

    def restart(self) -> None:
        """Starts another process under the same id."""
        incarnation = self.model.record.incarnation + 10_000
        self.model.restart(incarnation, self.now())
        self.model.record = attrs.evolve(self.model.record, draining=False)
        self.is_listed = True
        self.write_row()
        self.wake()

    def execute(self, order: StartRun | StopRun | Poll):
        """Carries an order out and returns the answer."""
        now = self.now()
        if self.model.is_down:
            return NoAnswer(connection_closed=True)
        match order:
            case StartRun():
                work = json.loads(order.payload)
                need = Resources(work["cpu"], 64)
                answer = self.model.start(order, need, work["seconds"], now)
            case StopRun():
                answer = self.model.stop(order, now)
                self._limit_stop_time(order, now)
            case Poll():
                answer = self.model.poll(order, now)
        self.wake()
        return answer

    def _limit_stop_time(self, order: StopRun, now: float) -> None:
        """Makes a stop take no longer than allowed, if the clock is slow."""
        work = self.model.running.get(order.task)
        if work is not None:
            longest = now + STOP_TIME_S * self.rate
            if work.stopped_at > longest and work.run <= order.run:
                work.stopped_at = longest

    async def hold_poll(self, order: Poll):
        """Carries a poll out, and holds the answer back until a run ends."""
        answer = self.execute(order)
        loop = asyncio.get_running_loop()
        end = loop.time() + order.wait_ms / 1000
        incarnation = self.model.record.incarnation
        while (
            isinstance(answer, Report)
            and not answer.ended
            and loop.time() < end
        ):
            due_at = self.model.next_completion()
            wait_s = end - loop.time()
            if due_at is not None:
                due_s = (due_at - self.now()) / self.rate
                wait_s = min(wait_s, max(due_s, 0.0) + 1e-4)
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            if self.model.is_down or (
                self.model.record.incarnation != incarnation
            ):
                return NoAnswer(connection_closed=True)
            answer = self.model.poll(
                attrs.evolve(order, deadline_ms=None), self.now()
            )
        return answer


class SimulatedTargetClient:
    """Double of `TargetClient` of one entry.

    Attributes:
        process: The process that uses it.
        network: The network.
        rng: Determines which orders arrive late.
        find_target: Returns the target at an address.
    """

    def __init__(
        self,
        process: SimulatedProcess,
        network: Network,
        rng: random.Random,
        find_target: Callable[[str], SimulatedTarget],
    ):
        self.process = process
        self.network = network
        self.rng = rng
        self.find_target = find_target

    async def start(self, address: str, order: StartRun, timeout: float):
        """As `TargetClient.start`."""
        return await self._call(address, order, timeout)

    async def stop(self, address: str, order: StopRun, timeout: float):
        """As `TargetClient.stop`."""
        return await self._call(address, order, timeout)

    async def poll(self, address: str, order: Poll, timeout: float):
        """As `TargetClient.poll`."""
        return await self._call(address, order, timeout)

    async def _call(self, address: str, order, timeout: float):
        target = self.find_target(address)
        entry = self.process.name
        is_cut = not self.network.is_open(entry, target.name)
        answered = asyncio.get_running_loop().create_future()
        incarnation = target.model.record.incarnation
        if is_cut and self.rng.random() >= SENT_INTO_CUT_SHARE:
            await asyncio.sleep(timeout)
            return NotSent()
        if target.model.is_down and not is_cut:
            await asyncio.sleep(self.network.delay_s(entry, target.name))
            return NotSent()
        if self.rng.random() < target.late_share:
            run_outside(
                self._execute_late(
                    target, order, self.rng.uniform(*LATE_ORDER_S)
                )
            )
        else:
            self.network.send(
                entry,
                target.name,
                lambda: run_outside(
                    self._execute(target, incarnation, order, answered)
                ),
            )
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            return NoAnswer()

    async def _execute_late(self, target, order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if order.incarnation == target.model.record.incarnation:
            target.execute(order)

    async def _execute(
        self, target, incarnation: int, order, answered: asyncio.Future
    ) -> None:
        """Carries an order out and sends the answer.

        Args:
            target: The target.
            incarnation: Its process when the order was sent. A connection to
                it reaches no other process.
            order: The order.
            answered: Receives the answer.
        """
        match order:
            case _ if target.model.record.incarnation != incarnation:
                answer = NoAnswer(connection_closed=True)
            case StartRun() if order.incarnation != incarnation:
                # The connection is a new one, so the entry polls it first.
                answer = Restarted(incarnation)
            case Poll(wait_ms=wait_ms) if wait_ms:
                answer = await target.hold_poll(order)
            case _:
                answer = target.execute(order)

        def deliver() -> None:
            if not answered.done():
                answered.set_result(answer)

        self.network.send(target.name, self.process.name, deliver)
