"""Local copies of the operator's table and of the target list."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

import attrs

from anvilford.node import _clock as clock
from anvilford.node._evacuation_sync import EvacuationSync
from anvilford.node._table_follower import TableFollower
from anvilford.placement import TargetRecord
from anvilford.platform import CONFIGURATION_KEY
from anvilford.platform import decode_configuration
from anvilford.platform import decode_target
from anvilford.platform import MalformedDocument
from anvilford.platform import OPERATOR_TABLE
from anvilford.platform import StoreClient
from anvilford.platform import StoreRow
from anvilford.platform import TARGET_TABLE
from anvilford.routing import RoutingTable
from anvilford.telemetry import Counters

# Targets removed from the list are remembered for this long, or for as long after
# members were missing, as by a placer (`UNLISTED_KEEP_S`).
REMOVED_TARGET_RETENTION_S = 20.0
# Pause between two watches of the target list. Each target writes its row every
# 1.5 s, so without a pause the watches would return immediately, one after
# another. The leader must learn within 2 s that a target leaves. The others
# read the list when the leader reports a change, at most once in the shorter
# time, and otherwise after the longer one, which is well below the 20 s for
# which the store keeps changes.
LEADER_LIST_PAUSE_S = 0.25
FOLLOWER_LIST_PAUSE_S = (1.5, 10.0)

_logger = logging.getLogger(__name__)


class SiteView:
    """Configuration, evacuated zones and targets of the site.

    Attributes:
        routing_table: Routing table in force; None before the first
            configuration.
        configuration: Local copy of the operator's table.
        evacuations: Zones to which nothing more is to be sent.
        target_list: Local copy of the target table.
        target_listeners: Called after each change of the target list or of
            the evacuated zones.
        changed_version: Version of the list with the last change of a target
            other than that of its row's version.
        removals_known_at: Time of `clock.now` from which all removed targets
            are known that another leader may have. Those that were removed
            before this process first read the list are not.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.routing_table: RoutingTable | None = None
        self._has_routing_table = asyncio.Event()
        self.removals_known_at = clock.now() + REMOVED_TARGET_RETENTION_S
        self._removed_targets: dict[str, tuple[TargetRecord, float]] = {}
        self._members_missing_at = -math.inf
        self._has_read_targets = False
        self.target_listeners: list[Callable[[], None]] = []
        self.changed_version = 0
        # Time at which another entry was first known to use a newer version of
        # the configuration; None if none is known.
        self._outdated_since: float | None = None
        self._is_placing = False
        # Rows of the target list, and the records decoded from them. Entries
        # that do not lead need the records rarely, so they are decoded when
        # they are read.
        self._target_rows: dict[str, StoreRow] = {}
        self._records: dict[str, TargetRecord] = {}
        self._targets: tuple[TargetRecord, ...] | None = ()
        self.configuration = TableFollower(
            store, OPERATOR_TABLE, self._apply_operator_rows, counters
        )
        self.evacuations = EvacuationSync(
            self.configuration, counters, self._notify_target_listeners
        )
        self.target_list = TableFollower(
            store,
            TARGET_TABLE,
            self._apply_target_rows,
            counters,
            self._target_list_pause,
        )
        # Last reported version by key of rows that cannot be decoded.
        self._reported_malformed: dict[str, int] = {}

    @property
    def is_placing(self) -> bool:
        """Whether this entry places jobs; set by the coordinator.

        It then watches the target list with the shorter pause, from now on.
        """
        return self._is_placing

    @is_placing.setter
    def is_placing(self, value: bool) -> None:
        self._is_placing = value
        if value:
            self.require_current_targets()

    def require_current_targets(self) -> None:
        """Reads the target list at once, since another leader was active.

        It may have used targets that are not in the local copy yet.
        """
        self.target_list.require_current()

    @property
    def has_current_targets(self) -> bool:
        """Whether `targets` has all that an earlier leader may have used."""
        return not self.target_list.is_outdated

    def _target_list_pause(self) -> tuple[float, float]:
        if self._is_placing:
            return (LEADER_LIST_PAUSE_S, LEADER_LIST_PAUSE_S)
        return FOLLOWER_LIST_PAUSE_S

    @property
    def targets(self) -> tuple[TargetRecord, ...]:
        """Listed targets whose rows can be decoded."""
        if self._targets is None:
            self._targets = self._decode_targets()
        return self._targets

    def refresh_targets_if_older(self, version: int) -> None:
        """Reads the target list soon if the leader has seen a newer change.

        Args:
            version: `changed_version` of the leader.
        """
        self.target_list.expected_version = max(
            self.target_list.expected_version, version
        )
        if version > self.target_list.version:
            self.target_list.wake()

    def record_missing_members(self) -> None:
        """Records that members are missing, one of which may lead elsewhere."""
        self._forget_removed_targets()
        self._members_missing_at = now = clock.now()
        if now < self.removals_known_at:
            self.removals_known_at = now + REMOVED_TARGET_RETENTION_S

    def _forget_removed_targets(self) -> None:
        """Forgets targets that no other leader can have any more.

        All members must have been heard for the retention time since.
        """
        earliest = clock.now() - REMOVED_TARGET_RETENTION_S
        if self._members_missing_at >= earliest:
            return
        for target_id, (_, removed_at) in list(self._removed_targets.items()):
            if removed_at < earliest:
                del self._removed_targets[target_id]

    def recently_removed_targets(self) -> list[TargetRecord]:
        """Returns removed targets that another leader may have.

        They may be cut off by a partition and still run tasks that it started.
        """
        if self._targets is None:
            self._targets = self._decode_targets()
        self._forget_removed_targets()
        return [record for record, _ in self._removed_targets.values()]

    def expect_version(self, version: int) -> None:
        """Makes sure that the configuration of another entry is read soon.

        Args:
            version: Version that the other entry uses.
        """
        if (
            self.routing_table is not None
            and version > self.routing_table.version
        ):
            if self._outdated_since is None:
                self._outdated_since = clock.now()
            self.configuration.expect_change()

    async def wait_for_routing_table(
        self, timeout: float
    ) -> RoutingTable | None:
        """Returns the routing table, once there is one.

        Args:
            timeout: Longest time to wait for the first one, in seconds.
        """
        if self.routing_table is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout):
                    await self._has_routing_table.wait()
        return self.routing_table

    def is_loaded(self) -> bool:
        """Returns whether both the configuration and the targets are known."""
        return self.routing_table is not None and self.target_list.is_loaded

    def _apply_operator_rows(self, rows: dict[str, StoreRow]) -> None:
        # First, so that the entry does not count as loaded before.
        self.evacuations.apply_rows(rows)
        row = rows.get(CONFIGURATION_KEY)
        if row is None:
            return
        match decode_configuration(row):
            case MalformedDocument(_, version, reason):
                _logger.error(
                    "configuration cannot be decoded; keeping the previous one",
                    extra={"row_version": version, "reason": reason},
                )
            case RoutingTable() as table:
                old = self.routing_table.version if self.routing_table else 0
                if table.version <= old:
                    return
                self.routing_table = table
                self._has_routing_table.set()
                outdated_s = (
                    clock.now() - self._outdated_since
                    if self._outdated_since is not None
                    else 0.0
                )
                self._outdated_since = None
                _logger.info(
                    "configuration in force",
                    extra={
                        "version": table.version,
                        "previous": old,
                        "row_version": row.version,
                        "bytes": len(row.value),
                        "outdated_ms": int(outdated_s * 1000),
                    },
                )

    def _apply_target_rows(self, rows: dict[str, StoreRow]) -> None:
        now = clock.now()
        if not self._has_read_targets:
            self._has_read_targets = True
            self.removals_known_at = now + REMOVED_TARGET_RETENTION_S
        for target_id in self._target_rows.keys() - rows.keys():
            record = self._decode_row(self._target_rows[target_id])
            if record is not None:
                self._removed_targets[target_id] = (record, now)
        for key in self._reported_malformed.keys() - rows.keys():
            del self._reported_malformed[key]
        self._target_rows = dict(rows)
        self._targets = None
        self._notify_target_listeners()

    def _notify_target_listeners(self) -> None:
        for listener in self.target_listeners:
            listener()

    def _decode_targets(self) -> tuple[TargetRecord, ...]:
        """Decodes the rows; updates `changed_version` and removed targets."""
        previous = self._records
        self._records = {}
        has_changes = False
        for target_id, row in self._target_rows.items():
            old = previous.get(target_id)
            record = (
                old
                if old is not None and old.version == row.version
                else self._decode_row(row)
            )
            if record is None:
                continue
            self._records[target_id] = record
            has_changes = (
                has_changes
                or old is None
                or attrs.evolve(record, version=old.version) != old
            )
        if has_changes or previous.keys() != self._records.keys():
            self.changed_version = self.target_list.version
        # A target whose row can no longer be decoded counts as removed.
        for target_id in previous.keys() - self._records.keys():
            self._removed_targets.setdefault(
                target_id, (previous[target_id], clock.now())
            )
        for target_id in self._records.keys() & self._removed_targets.keys():
            del self._removed_targets[target_id]
        return tuple(self._records.values())

    def _decode_row(self, row: StoreRow) -> TargetRecord | None:
        """Returns the target of a row; None if it cannot be decoded."""
        match decode_target(row):
            case TargetRecord() as record:
                return record
            case MalformedDocument(key, version, reason):
                self._warn_malformed_once(key, version, reason)
        return None

    def _warn_malformed_once(self, key: str, version: int, reason: str) -> None:
        """Logs a row that cannot be decoded, once for each of its versions."""
        if self._reported_malformed.get(key) == version:
            return
        self._reported_malformed[key] = version
        _logger.warning(
            "row of the target list cannot be decoded; ignoring the target",
            extra={"target": key, "version": version, "reason": reason},
        )
