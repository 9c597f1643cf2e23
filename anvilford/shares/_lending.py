"""Use of slots that other entries of the zone leave free."""

import collections
from collections.abc import Mapping

import attrs

from anvilford.protocol import LoadReport

# Kept by an idle lender at each target, so that its next task starts at once
# instead of being refused as busy.
RESERVED_SLOTS = 1
# Lending by the momentary use refused 0.2 starts per task, and by the peak of
# 0.5 s still 0.07, against a target of 0.05 wasted messages per task: a
# lender needs the slots back that it used a moment ago.
PEAK_WINDOW_S = 1.0


@attrs.define
class HeardReport:
    """Reports of one entry.

    Attributes:
        report: The latest.
        heard_at: When it arrived.
        recent: Time and use of each report within `PEAK_WINDOW_S`.
    """

    report: LoadReport
    heard_at: float
    recent: collections.deque[tuple[float, dict[str, int]]]

    def peak(self, target_id: str) -> int:
        """Most slots of a target used in the recent past."""
        return max(in_use.get(target_id, 0) for _, in_use in self.recent)


class LoadReports:
    """Latest load report of each other entry of the zone.

    Attributes:
        valid_for: Age in seconds after which a report is ignored.
        heard: Latest report by incarnation token.
        changes: Grows whenever the reports in force change.
    """

    def __init__(self, valid_for: float):
        self.valid_for = valid_for
        self.heard: dict[str, HeardReport] = {}
        self.changes = 0

    def observe(self, report: LoadReport, now: float) -> None:
        """Takes a report unless a later one of its sender is known."""
        known = self.heard.get(report.sender)
        if known is not None and report.sequence <= known.report.sequence:
            return
        recent = known.recent if known else collections.deque()
        recent.append((now, report.in_use))
        while now - recent[0][0] > PEAK_WINDOW_S:
            recent.popleft()
        self.heard[report.sender] = HeardReport(report, now, recent)
        self.changes += 1

    def expire(self, now: float) -> None:
        """Drops reports that are too old."""
        for token, heard in list(self.heard.items()):
            if now - heard.heard_at > self.valid_for:
                del self.heard[token]
                self.changes += 1

    def borrowable(self, target_id: str, shares: Mapping[str, int]) -> int:
        """Slots of a target that this entry may use beyond its share.

        An entry lends what it does not use while it has no backlog. Entries
        that have one split what is lent, as each of them counts itself.

        Args:
            target_id: VM id of the target.
            shares: Slots of each other entry of the zone, by token.
        """
        borrowers = 1
        lent = 0
        for token, share in shares.items():
            heard = self.heard.get(token)
            if heard is None:
                continue
            if heard.report.backlog:
                borrowers += 1
                continue
            lent += max(0, share - heard.peak(target_id) - RESERVED_SLOTS)
        return lent // borrowers


class LoadReporter:
    """Decides when this entry tells its zone about its load.

    Attributes:
        sender: Token of this incarnation.
        min_interval: Shortest time between two reports, in seconds.
        refresh_interval: Longest time between two reports, in seconds.
        next_check: Loop time before which nothing is sent.
    """

    def __init__(
        self, sender: str, min_interval: float, refresh_interval: float
    ):
        self.sender = sender
        self.min_interval = min_interval
        self.refresh_interval = refresh_interval
        self.next_check = 0.0
        self._last = LoadReport(sender, 0, -1, {})
        self._sent_at = float("-inf")

    def make(
        self, backlog: int, in_use: dict[str, int], now: float
    ) -> LoadReport | None:
        """Makes a report when the load changed or a refresh is due."""
        self.next_check = now + self.min_interval
        is_changed = (bool(backlog), in_use) != (
            bool(self._last.backlog),
            self._last.in_use,
        )
        is_due = now - self._sent_at >= self.refresh_interval
        if not (is_changed or is_due):
            return None
        self._sent_at = now
        sequence = self._last.sequence + 1
        self._last = LoadReport(self.sender, sequence, backlog, in_use)
        return self._last
