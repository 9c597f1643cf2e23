"""Decides which zones are evacuated, from reports that may be old or late.

Each report names all evacuated zones that its sender knows, with the version of
the row that requests each, and the version of the store up to which no zone is
missing. Two reports are merged zone by zone: a zone that only one of them names
is evacuated if its row is newer than the other report, and otherwise its row has
been removed since. The result depends neither on the order of the reports nor on
how often each arrives, so that all members that exchange reports agree.
"""

import hashlib

import attrs

from anvilford.protocol import EvacuatedZone
from anvilford.protocol import EvacuationReport

# Most zones in a report to another member. A site has three or four zones; rows
# for many more are an error of their writer, and must not make each heartbeat
# long. The members then rely on the store alone.
MAX_REPORTED_ZONES = 64


@attrs.frozen
class EvacuationChange:
    """Zones that a merge has changed.

    Attributes:
        begun: Zones that are evacuated since.
        ended: Zones that are used again since, with the version of the row
            that is known to be removed.
    """

    begun: tuple[EvacuatedZone, ...]
    ended: tuple[EvacuatedZone, ...]


class EvacuatedZones:
    """The evacuated zones of the site.

    Attributes:
        as_of: Version of the store up to which no zone is missing; it never
            goes back.
        digest: Digest of the zones and the versions of their rows, as a signed
            64-bit integer; 0 for no zones.
    """

    def __init__(self):
        self.as_of = 0
        self.digest = 0
        self._versions: dict[str, int] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return frozenset(self._versions)

    @property
    def zones(self) -> tuple[EvacuatedZone, ...]:
        """The evacuated zones, sorted by name."""
        return tuple(
            EvacuatedZone(zone, version)
            for zone, version in sorted(self._versions.items())
        )

    def report(self) -> EvacuationReport | None:
        """Returns what to tell other members; None if it is too long."""
        if len(self._versions) > MAX_REPORTED_ZONES:
            # Not a part of the zones, since the others would count as removed.
            return None
        return EvacuationReport(self.as_of, self.zones)

    def merge(self, report: EvacuationReport) -> EvacuationChange:
        """Merges a report, and returns the zones that changed."""
        old = self._versions
        reported = {row.zone: row.row_version for row in report.zones}
        merged = {}
        for zone in old.keys() | reported.keys():
            version = max(old.get(zone, 0), reported.get(zone, 0))
            # The side that does not name the zone has seen its removal, or is
            # older than its row.
            is_removed = (zone not in old and version <= self.as_of) or (
                zone not in reported and version <= report.as_of
            )
            if not is_removed:
                merged[zone] = version
        self._versions = merged
        self.as_of = max(self.as_of, report.as_of)
        if merged != old:
            self.digest = _digest(merged)
        return EvacuationChange(
            _only_in(merged, other=old), _only_in(old, other=merged)
        )


def _only_in(
    versions: dict[str, int], other: dict[str, int]
) -> tuple[EvacuatedZone, ...]:
    """Returns the zones that are in the first dictionary only."""
    return tuple(
        EvacuatedZone(zone, versions[zone])
        for zone in sorted(versions.keys() - other.keys())
    )


def _digest(versions: dict[str, int]) -> int:
    if not versions:
        return 0
    text = repr(sorted(versions.items()))
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big", signed=True)
