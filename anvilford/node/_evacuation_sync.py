"""Evacuated zones as read from the store and as told by other members."""

import logging
from collections.abc import Callable
from collections.abc import Mapping

import attrs

from anvilford.node import _clock as clock
from anvilford.node._evacuations import EvacuatedZones
from anvilford.node._table_follower import TableFollower
from anvilford.platform import decode_evacuation
from anvilford.platform import EvacuationRow
from anvilford.platform import MalformedDocument
from anvilford.platform import StoreRow
from anvilford.protocol import EvacuatedZone
from anvilford.protocol import EvacuationReport
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.telemetry import Counters

_logger = logging.getLogger(__name__)


@attrs.frozen
class ReportFields:
    """Fields about evacuated zones of a heartbeat or its reply.

    Attributes:
        digest: Digest of the zones that this member knows.
        report: These zones; None if the receiver is known to have the same, or
            could not read them.
    """

    digest: int
    report: EvacuationReport | None


class EvacuationSync:
    """Keeps the evacuated zones that this entry knows.

    The rows in the store and the reports of other members are merged by their
    versions. A heartbeat carries the digest of what its sender knows, and the
    zones themselves only until both sides have the same digest.

    Attributes:
        known: The evacuated zones.
        since: Time of `clock.now` at which each of them became known, by zone.
        follower: Local copy of the operator's table.
        counters: Receives the number of changes.
        on_change: Called after the set of evacuated zones has changed.
    """

    def __init__(
        self,
        follower: TableFollower,
        counters: Counters,
        on_change: Callable[[], None],
    ):
        self.known = EvacuatedZones()
        self.since: dict[str, float] = {}
        self.follower = follower
        self.counters = counters
        self.on_change = on_change
        # Zones in the local copy of the table.
        self._stored: tuple[EvacuatedZone, ...] = ()
        # Last reported version by key of rows that cannot be read.
        self._reported_faults: dict[str, int] = {}
        # Token of the last leader that replied, and its digest; None if its
        # build knows no evacuations.
        self._leader_digest: tuple[str, int | None] = ("", None)

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return self.known.names

    def apply_rows(self, rows: Mapping[str, StoreRow]) -> None:
        """Takes over all rows of the operator's table."""
        stored = []
        for row in rows.values():
            match decode_evacuation(row):
                case EvacuationRow(zone, version, fault):
                    stored.append(EvacuatedZone(zone, version))
                    if fault:
                        self._warn_once(row, fault, zone)
                case MalformedDocument(_, _, reason):
                    self._warn_once(row, reason, "")
        for key in self._reported_faults.keys() - rows.keys():
            del self._reported_faults[key]
        self._stored = tuple(stored)
        self._merge_stored()

    def _warn_once(self, row: StoreRow, reason: str, zone: str) -> None:
        """Logs a row that cannot be read, once for each of its versions."""
        if self._reported_faults.get(row.key) == row.version:
            return
        self._reported_faults[row.key] = row.version
        _logger.warning(
            "evacuation row cannot be read; evacuating the zone of its key"
            if zone
            else "evacuation row names no zone; ignoring it",
            extra={
                "key": row.key,
                "zone": zone,
                "row_version": row.version,
                "reason": reason,
            },
        )

    # Exchange with other members.

    def fields_for_leader(self, token: str) -> ReportFields:
        """Returns the fields of a heartbeat.

        Args:
            token: Token of the leader's process.
        """
        known_token, digest = self._leader_digest
        must_send = token != known_token or (
            digest is not None and digest != self.known.digest
        )
        return ReportFields(self.known.digest, self._report(must_send))

    def take_from_leader(self, token: str, reply: HeartbeatReply) -> None:
        """Merges what a leader's reply reports.

        Args:
            token: Token of the leader's process.
            reply: Its reply.
        """
        self._leader_digest = (token, reply.evacuations_digest)
        self._take(reply.evacuations, "leader")

    def take_from_member(self, heartbeat: Heartbeat) -> None:
        """Merges what a heartbeat reports."""
        self._take(heartbeat.evacuations, "member")

    def fields_for_member(self, heartbeat: Heartbeat) -> ReportFields:
        """Returns the fields of the reply to a heartbeat."""
        must_send = heartbeat.evacuations_digest not in (
            None,
            self.known.digest,
        )
        return ReportFields(self.known.digest, self._report(must_send))

    def _report(self, must_send: bool) -> EvacuationReport | None:
        if not must_send:
            return None
        self._merge_stored()
        return self.known.report()

    def _take(self, report: EvacuationReport | None, source: str) -> None:
        if report is None:
            return
        self._merge_stored()
        if self._merge(report, source):
            self.follower.expect_change()

    def _merge_stored(self) -> None:
        """Merges the local copy of the table, up to its present version.

        The version of the copy also grows without a change of its rows, which
        shows that these rows are all there are up to that version.
        """
        if self.follower.is_loaded:
            version = self.follower.version
            self._merge(EvacuationReport(version, self._stored), "store")

    def _merge(self, report: EvacuationReport, source: str) -> bool:
        """Merges a report; returns whether the evacuated zones changed."""
        change = self.known.merge(report)
        if not (change.begun or change.ended):
            return False
        now = clock.now()
        for zone in change.begun:
            self.since[zone.zone] = now
            self._log_change("zone evacuated", zone, source, 0.0)
        for zone in change.ended:
            seconds = now - self.since.pop(zone.zone)
            self._log_change("evacuation taken back", zone, source, seconds)
        self.on_change()
        return True

    def _log_change(
        self, event: str, zone: EvacuatedZone, source: str, seconds: float
    ) -> None:
        """Logs and counts the begin or end of an evacuation on this entry.

        Args:
            event: Text of the log line.
            zone: The zone and the version of its row.
            source: Who reported it: "store", "leader" or "member".
            seconds: Time for which it was in force here.
        """
        contact_age = clock.now() - self.follower.contact_at
        _logger.warning(
            event,
            extra={
                "zone": zone.zone,
                "row_version": zone.row_version,
                "as_of": self.known.as_of,
                "source": source,
                "in_force_ms": int(seconds * 1000),
                "store_contact_age_ms": int(contact_age * 1000),
                "evacuated_zones": sorted(self.known.names),
            },
        )
        self.counters.increment(
            "evacuation_changes", change=event.replace(" ", "_"), source=source
        )
