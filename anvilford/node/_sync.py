"""Follows the configuration and the target list in the store."""

import asyncio
import logging
from collections.abc import Callable

from anvilford.node import _clock as clock
from anvilford.placement import TargetRecord
from anvilford.platform import CONFIGURATION_KEY
from anvilford.platform import decode_configuration
from anvilford.platform import decode_target
from anvilford.platform import HistoryLost
from anvilford.platform import MalformedDocument
from anvilford.platform import OPERATOR_TABLE
from anvilford.platform import Snapshot
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import TARGET_TABLE
from anvilford.routing import RoutingTable
from anvilford.telemetry import Counters

# A watch that hears nothing is renewed this often. Each renewal is a priced
# call; peers tell of newer versions in between.
WATCH_WAIT_MS = 4000
# Beyond the wait, an answer takes a few milliseconds unless the store is slow.
WATCH_TIMEOUT_MARGIN_S = 0.8
READ_TIMEOUT_S = 1.0
RETRY_DELAYS_S = (0.2, 1.0)
# Each target writes its row every 1.5 s, so a watch of the list returns at
# once. Pause before the next one, for entries that only forward and for the
# one that places jobs; a leaving target must be known within 2 s.
# The longest partitions of the users' sites last 12 s.
REMOVED_TARGET_RETENTION_S = 20.0
TARGET_LIST_PAUSE_S = {False: 1.5, True: 0.25}

_logger = logging.getLogger(__name__)


class TableFollower:
    """Keeps the rows of one table of the store up to date.

    Rows never go back to an older version, whatever a lagging store answers.

    Attributes:
        store: The store.
        table: The table.
        apply: Called with all rows after each change.
        counters: Receives counts.
        pause: Seconds between an answer and the next watch, so that changes
            come together.
        rows: Rows by key.
        version: Version of the store up to which changes are known.
        is_loaded: True after the first complete read.
        contact_at: When the store last answered.
    """

    def __init__(
        self,
        store: StoreClient,
        table: str,
        apply: Callable[[dict[str, StoreRow]], None],
        counters: Counters,
        pause: Callable[[], float] = lambda: 0.0,
    ):
        self.store = store
        self.table = table
        self.on_change = apply
        self.counters = counters
        self.watch_pause = pause
        self.rows: dict[str, StoreRow] = {}
        self.version = 0
        self.is_loaded = False
        self.contact_at = 0.0
        self._store_reachable = True
        self._needs_full_read = True
        self._watch_task: asyncio.Task | None = None

    async def run(self) -> None:
        """Follows the table until cancelled."""
        failures = 0
        while True:
            succeeded = await (
                self._read_table()
                if self._needs_full_read
                else self._watch_table()
            )
            if succeeded:
                failures = 0
                continue
            failures += 1
            await asyncio.sleep(
                min(RETRY_DELAYS_S[0] * failures, RETRY_DELAYS_S[1])
            )

    def refresh(self) -> None:
        """Reads the table anew because others know of a change."""
        self._needs_full_read = True
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _read_table(self) -> bool:
        self._count_store_call("read")
        answer = await self.store.read(self.table, READ_TIMEOUT_S)
        if isinstance(answer, StoreFailed):
            self._record_failure(answer.reason)
            return False
        self._record_contact()
        if answer.version < self.version:
            # A lagging replica answered.
            return False
        self._needs_full_read = False
        self.version = answer.version
        self.is_loaded = True
        self.rows = {row.key: row for row in answer.rows}
        self.on_change(self.rows)
        return True

    async def _watch_table(self) -> bool:
        self._count_store_call("watch")
        self._watch_task = asyncio.ensure_future(
            self.store.watch(
                self.table,
                self.version,
                WATCH_WAIT_MS,
                WATCH_WAIT_MS / 1000 + WATCH_TIMEOUT_MARGIN_S,
            )
        )
        await asyncio.wait((self._watch_task,))
        if self._watch_task.cancelled():
            return True
        match self._watch_task.result():
            case StoreFailed(reason):
                self._record_failure(reason)
                return False
            case HistoryLost():
                self._record_contact()
                _logger.warning(
                    "store history lost, reading the table anew",
                    extra={"table": self.table, "version": self.version},
                )
                self._needs_full_read = True
            case Snapshot(rows, version):
                self._record_contact()
                self._apply_changes(rows, version)
                await asyncio.sleep(self.watch_pause())
        return True

    def _apply_changes(self, rows: tuple[StoreRow, ...], version: int) -> None:
        changed = False
        for row in rows:
            old = self.rows.get(row.key)
            if row.version <= (old.version if old else 0):
                continue
            changed = True
            if row.deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
            self.version = max(self.version, row.version)
        self.version = max(self.version, version)
        if changed:
            self.on_change(self.rows)

    def _record_contact(self) -> None:
        self.contact_at = clock.now()
        if not self._store_reachable:
            self._store_reachable = True
            _logger.info("store regained", extra={"table": self.table})

    def _record_failure(self, reason: str) -> None:
        # A read tells within a second whether the store is back; a watch that
        # was swallowed would only end with its wait.
        self._needs_full_read = True
        self.counters.increment("store_calls_failed", table=self.table)
        if self._store_reachable:
            self._store_reachable = False
            _logger.warning(
                "store lost", extra={"table": self.table, "reason": reason}
            )

    def _count_store_call(self, call: str) -> None:
        self.counters.increment("store_calls", call=call, table=self.table)


class SiteView:
    """The configuration and the targets as last read.

    Attributes:
        table: Routes in force; None before the first configuration.
        targets: Targets that can be decoded.
        configuration: Follows the operator's table.
        target_list: Follows the targets' table.
        target_listeners: Called after each change of the targets.
        places_jobs: Whether this entry needs the list without delay.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.routing_table: RoutingTable | None = None
        self.targets: tuple[TargetRecord, ...] = ()
        self._removed_targets: dict[str, tuple[TargetRecord, float]] = {}
        self.target_listeners: list[Callable[[], None]] = []
        self.is_placing = False
        self.configuration = TableFollower(
            store, OPERATOR_TABLE, self._apply_operator_rows, counters
        )
        self.target_list = TableFollower(
            store,
            TARGET_TABLE,
            self._apply_target_rows,
            counters,
            lambda: TARGET_LIST_PAUSE_S[self.is_placing],
        )
        self._reported_malformed: set[tuple[str, int]] = set()

    def recently_removed_targets(self) -> list[TargetRecord]:
        """Targets that the list dropped lately.

        They may be behind a partition, with runs of another placer.
        """
        oldest = clock.now() - REMOVED_TARGET_RETENTION_S
        return [r for r, at in self._removed_targets.values() if at >= oldest]

    def refresh_if_older(self, version: int) -> None:
        """Reads the configuration anew if another entry has a newer one."""
        if (
            self.routing_table is not None
            and version > self.routing_table.version
        ):
            self.configuration.refresh()

    def is_loaded(self) -> bool:
        """Whether requests can be served."""
        return self.routing_table is not None and self.target_list.is_loaded

    def _apply_operator_rows(self, rows: dict[str, StoreRow]) -> None:
        row = rows.get(CONFIGURATION_KEY)
        if row is None:
            return
        match decode_configuration(row):
            case MalformedDocument(_, version, reason):
                _logger.error(
                    "configuration cannot be decoded; the old one stays",
                    extra={"row_version": version, "reason": reason},
                )
            case RoutingTable() as table:
                old = self.routing_table.version if self.routing_table else 0
                if table.version <= old:
                    return
                self.routing_table = table
                _logger.info(
                    "configuration in force",
                    extra={
                        "version": table.version,
                        "previous": old,
                        "row_version": row.version,
                    },
                )

    def _apply_target_rows(self, rows: dict[str, StoreRow]) -> None:
        records = []
        for row in rows.values():
            match decode_target(row):
                case TargetRecord() as record:
                    records.append(record)
                case MalformedDocument(key, version, reason):
                    self._warn_malformed_once(key, version, reason)
        now = clock.now()
        listed = {record.target_id for record in records}
        for record in self.targets:
            if record.target_id not in listed:
                self._removed_targets[record.target_id] = (record, now)
        for target_id in listed:
            self._removed_targets.pop(target_id, None)
        self.targets = tuple(records)
        for listener in self.target_listeners:
            listener()

    def _warn_malformed_once(self, key: str, version: int, reason: str) -> None:
        if (key, version) in self._reported_malformed:
            return
        self._reported_malformed.add((key, version))
        _logger.warning(
            "entry of the target list cannot be decoded",
            extra={"target": key, "version": version, "reason": reason},
        )
