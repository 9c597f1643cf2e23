"""Use of slots that other entries of the zone leave free."""

from collections.abc import Mapping

import attrs

from anvilford.protocol import LoadReport

# Kept by an idle lender at each target, so that its next task starts at once
# instead of being refused as busy.
RESERVED_SLOTS = 1


@attrs.frozen
class HeardReport:
    """A report with the time at which it arrived."""

    report: LoadReport
    heard_at: float


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
        self.heard[report.sender] = HeardReport(report, now)
        if known is None or (
            (bool(known.report.backlog), known.report.in_use)
            != (bool(report.backlog), report.in_use)
        ):
            self.changes += 1

    def expire(self, now: float) -> None:
        """Drops reports that are too old."""
        for token, heard in list(self.heard.items()):
            if now - heard.heard_at > self.valid_for:
                del self.heard[token]
                self.changes += 1

    def borrowable(self, target_id: str, shares: Mapping[str, int]) -> int:
        """Slots of a target that this entry may use beyond its share.

        An entry lends what it did not use lately while it has no backlog. Entries
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
            peak = heard.report.in_use.get(target_id, 0)
            lent += max(0, share - peak - RESERVED_SLOTS)
        return lent // borrowers


class LoadReporter:
    """Decides when this entry tells its zone about its load.

    A report holds the peak use since the one before, because what was just
    used is not lent. So one report a second is enough; only a new backlog is
    told at once, since it calls lent slots back.

    Attributes:
        sender: Token of this incarnation.
        sample_interval: Time between two looks at the load, in seconds.
        report_interval: Shortest time between two reports of changed use.
        refresh_interval: Longest time between two reports, in seconds.
        next_check: Loop time before which the load is not looked at.
    """

    def __init__(
        self,
        sender: str,
        sample_interval: float,
        report_interval: float,
        refresh_interval: float,
    ):
        self.sender = sender
        self.sample_interval = sample_interval
        self.report_interval = report_interval
        self.refresh_interval = refresh_interval
        self.next_check = 0.0
        self._last = LoadReport(sender, 0, 0, {})
        self._sent_at = float("-inf")
        self._peak: dict[str, int] = {}

    def make(
        self, backlog: int, in_use: dict[str, int], now: float
    ) -> LoadReport | None:
        """Looks at the load and makes a report when one is due."""
        self.next_check = now + self.sample_interval
        for target_id, used in in_use.items():
            self._peak[target_id] = max(used, self._peak.get(target_id, 0))
        age = now - self._sent_at
        is_changed = self._peak != self._last.in_use or (
            bool(backlog) != bool(self._last.backlog)
        )
        calls_back = backlog and not self._last.backlog
        is_due = age >= self.refresh_interval or (
            is_changed and age >= self.report_interval
        )
        if not (calls_back or is_due):
            return None
        sequence = self._last.sequence + 1
        self._last = LoadReport(self.sender, sequence, backlog, self._peak)
        self._peak = dict(in_use)
        self._sent_at = now
        return self._last
