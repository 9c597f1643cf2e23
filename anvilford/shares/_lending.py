"""Use of slots that other entries of the zone leave free."""

from collections.abc import Mapping

import attrs

from anvilford.protocol import LoadReport

# Kept by an idle lender at each target, so that its next task starts at once
# instead of being refused as busy.
RESERVED_SLOTS = 1


@attrs.frozen
class ReceivedReport:
    """A report with the time at which it arrived."""

    report: LoadReport
    received_at: float


class LoadReports:
    """Latest load report of each other entry of the zone.

    Attributes:
        max_age_s: Age in seconds after which a report is ignored.
        latest: Latest report by incarnation token.
        revision: Grows whenever the reports in force change.
    """

    def __init__(self, max_age_s: float):
        self.max_age_s = max_age_s
        self.latest: dict[str, ReceivedReport] = {}
        self.revision = 0

    def record(self, report: LoadReport, now: float) -> None:
        """Takes a report unless a later one of its sender is known."""
        known = self.latest.get(report.sender)
        if known is not None and report.sequence <= known.report.sequence:
            return
        self.latest[report.sender] = ReceivedReport(report, now)
        if known is None or (
            (bool(known.report.backlog), known.report.in_use)
            != (bool(report.backlog), report.in_use)
        ):
            self.revision += 1

    def expire(self, now: float) -> None:
        """Drops reports that are too old."""
        for token, heard in list(self.latest.items()):
            if now - heard.received_at > self.max_age_s:
                del self.latest[token]
                self.revision += 1

    def borrowable_slots(
        self, target_id: str, shares: Mapping[str, int]
    ) -> int:
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
            heard = self.latest.get(token)
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
        sample_interval_s: Time between two looks at the load, in seconds.
        report_interval_s: Shortest time between two reports of changed use.
        refresh_interval_s: Longest time between two reports, in seconds.
        next_sample_at: Loop time before which the load is not looked at.
    """

    def __init__(
        self,
        sender: str,
        sample_interval_s: float,
        report_interval_s: float,
        refresh_interval_s: float,
    ):
        self.sender = sender
        self.sample_interval_s = sample_interval_s
        self.report_interval_s = report_interval_s
        self.refresh_interval_s = refresh_interval_s
        self.next_sample_at = 0.0
        self._last = LoadReport(sender, 0, 0, {})
        self._sent_at = float("-inf")
        self._peak: dict[str, int] = {}

    def report_if_due(
        self, backlog: int, in_use: dict[str, int], now: float
    ) -> LoadReport | None:
        """Looks at the load and makes a report when one is due."""
        self.next_sample_at = now + self.sample_interval_s
        for target_id, used in in_use.items():
            self._peak[target_id] = max(used, self._peak.get(target_id, 0))
        age = now - self._sent_at
        is_changed = self._peak != self._last.in_use or (
            bool(backlog) != bool(self._last.backlog)
        )
        calls_back = backlog and not self._last.backlog
        is_due = age >= self.refresh_interval_s or (
            is_changed and age >= self.report_interval_s
        )
        if not (calls_back or is_due):
            return None
        sequence = self._last.sequence + 1
        self._last = LoadReport(self.sender, sequence, backlog, self._peak)
        self._peak = dict(in_use)
        self._sent_at = now
        return self._last
