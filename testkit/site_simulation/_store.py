"""Metadata store of the simulated site, which may turn entries away."""

import asyncio
import enum
import random

from anvilford.http1 import ResponseProgress
from anvilford.platform import Conflict
from anvilford.platform import Snapshot
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import Written
from testkit.site_simulation._loop import run_outside
from testkit.site_simulation._loop import SimulatedProcess

DELAY_S = 0.004
# Longest time after which a write without an answer is carried out.
LATE_WRITE_S = 4.0


class StoreMode(enum.Enum):
    """How the store treats the calls of an entry.

    Attributes:
        SERVES: It answers.
        REFUSES: It accepts no connection.
        BUSY: It answers with status 503.
        SILENT: It does not answer, and may carry out writes late.
        SLOW: It answers after up to 0.5 s.
    """

    SERVES = "serves"
    REFUSES = "refuses"
    BUSY = "busy"
    SILENT = "silent"
    SLOW = "slow"


class SimulatedStore:
    """Rows of the store.

    Attributes:
        rng: Determines delays.
        version: Version of the newest row.
        rows: Rows by table and key; deleted rows stay as such.
        modes: How the store treats the calls of each entry by name, the newest
            fault last.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.version = 1
        self.rows: dict[tuple[str, str], StoreRow] = {}
        self.modes: dict[str, list[StoreMode]] = {}
        self._changed = asyncio.Event()

    def mode_of(self, entry: str) -> StoreMode:
        """Returns how calls of an entry are treated now."""
        modes = self.modes.get(entry)
        return modes[-1] if modes else StoreMode.SERVES

    def put(self, table: str, key: str, value: bytes) -> int:
        """Writes a row and returns its version."""
        self.version += 1
        self.rows[table, key] = StoreRow(table, key, value, self.version)
        self._wake_watches()
        return self.version

    def delete(self, table: str, key: str) -> None:
        """Deletes a row."""
        self.version += 1
        self.rows[table, key] = StoreRow(table, key, b"", self.version, True)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def read(self, table: str) -> Snapshot:
        """Returns the rows of a table."""
        rows = tuple(
            row
            for (name, _), row in self.rows.items()
            if name == table and not row.deleted
        )
        return Snapshot(rows, self.version)

    def write(
        self, table: str, key: str, value: bytes, expected_version: int
    ) -> Written | Conflict:
        """Writes a row if it has the expected version."""
        row = self.rows.get((table, key))
        found = row.version if row is not None and not row.deleted else 0
        if found != expected_version:
            return Conflict((row,) if row is not None else ())
        return Written(self.put(table, key, value))

    async def watch(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Waits for changes of a table."""
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            rows = tuple(
                row
                for (name, _), row in self.rows.items()
                if name == table and row.version > after
            )
            left = end - asyncio.get_running_loop().time()
            if rows or left <= 0:
                rows = tuple(sorted(rows, key=lambda row: row.version))
                return Snapshot(rows, self.version)
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue


class SimulatedStoreClient:
    """Double of `StoreClient` of one entry.

    Attributes:
        process: The process that uses it.
        store: The store.
        address: Unused; `EntryNode` replaces it when settings change.
    """

    def __init__(self, process: SimulatedProcess, store: SimulatedStore):
        self.process = process
        self.store = store
        self.address = ""

    async def read(
        self,
        table: str,
        timeout: float,
        progress: ResponseProgress | None = None,
    ) -> Snapshot | StoreFailed:
        """As `StoreClient.read`."""
        del progress

        async def answer() -> Snapshot:
            return self.store.read(table)

        return await self._call(answer, timeout)

    async def watch(
        self,
        table: str,
        after: int,
        wait_ms: int,
        timeout: float,
        idle_timeout: float,
        progress: ResponseProgress | None = None,
    ) -> Snapshot | StoreFailed:
        """As `StoreClient.watch`."""
        del idle_timeout, progress

        async def answer() -> Snapshot:
            return await self.store.watch(table, after, wait_ms / 1000)

        return await self._call(answer, timeout)

    async def write(
        self,
        table: str,
        key: str,
        value: bytes,
        expected_version: int,
        timeout: float,
    ) -> Written | Conflict | StoreFailed:
        """As `StoreClient.write`."""

        async def answer() -> Written | Conflict:
            if self._mode is StoreMode.SILENT:
                await asyncio.sleep(self.store.rng.uniform(0.0, LATE_WRITE_S))
            return self.store.write(table, key, value, expected_version)

        result = await self._call(answer, timeout, is_write=True)
        if result == StoreFailed("timeout"):
            return StoreFailed("timeout", may_have_taken_effect=True)
        return result

    @property
    def _mode(self) -> StoreMode:
        return self.store.mode_of(self.process.name)

    async def _call(self, work, timeout: float, is_write: bool = False):
        """Returns the answer of the store, or how the call failed.

        Args:
            work: Does the work of the store.
            timeout: Time limit in seconds.
            is_write: Whether the store does the work although it is silent.
        """
        await asyncio.sleep(DELAY_S / 2)
        mode = self._mode
        if mode in (StoreMode.REFUSES, StoreMode.BUSY):
            reason = "status 503" if mode is StoreMode.BUSY else "refused"
            return StoreFailed(reason)
        if mode is StoreMode.SILENT and not is_write:
            await asyncio.sleep(timeout)
            return StoreFailed("timeout")
        answered = asyncio.get_running_loop().create_future()
        run_outside(self._answer(work, mode, answered))
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            return StoreFailed("timeout")

    async def _answer(self, work, mode: StoreMode, answered) -> None:
        if mode is StoreMode.SLOW:
            await asyncio.sleep(self.store.rng.uniform(0.1, 0.5))
        result = await work()
        await asyncio.sleep(DELAY_S / 2)
        # A connection on which an answer was lost delivers nothing further.
        if not answered.done() and self._mode is not StoreMode.SILENT:
            answered.set_result(result)
