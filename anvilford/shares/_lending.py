"""Lending of unused slots between the entries of an availability zone.

Entries send each other load reports. From these each entry computes how many
slots of a target it may use beyond its own share.
"""

from collections.abc import Mapping

import attrs

from anvilford.protocol import LoadReport

# Slots of each target that an idle entry does not lend. Its next task can then
# start at once; otherwise the target would refuse it as busy.
RESERVED_SLOTS = 1


@attrs.frozen
class ReceivedReport:
    """A load report of another entry.

    Attributes:
        report: The report.
        received_at: Event-loop time at which it arrived, in seconds.
    """

    report: LoadReport
    received_at: float


class LoadReports:
    """Latest load report of each other entry of the zone.

    All times (`now`) are event-loop times in seconds.

    Attributes:
        max_age_s: Age in seconds after which a report is dropped.
        latest: Latest report by incarnation token of its sender.
        revision: Counter that grows whenever a change of the reports may change
            the result of `borrowable_slots`.
    """

    def __init__(self, max_age_s: float):
        self.max_age_s = max_age_s
        self.latest: dict[str, ReceivedReport] = {}
        self.revision = 0

    def record(self, report: LoadReport, now: float) -> None:
        """Stores a report unless a later one of the same sender is known."""
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
        """Drops reports older than `max_age_s`."""
        for token, received in list(self.latest.items()):
            if now - received.received_at > self.max_age_s:
                del self.latest[token]
                self.revision += 1

    def borrowable_slots(
        self, target_id: str, shares: Mapping[str, int]
    ) -> int:
        """Returns how many slots this entry may use beyond its share.

        An entry without a backlog lends the slots that it did not use lately,
        except for `RESERVED_SLOTS`. Its report states the peak use. Entries
        with a backlog divide the lent slots evenly; this entry counts itself
        as one of them.

        Args:
            target_id: VM id of the target.
            shares: Slots of each other entry of the zone, by incarnation
                token.
        """
        borrowers = 1
        lent = 0
        for token, share in shares.items():
            received = self.latest.get(token)
            if received is None:
                continue
            if received.report.backlog:
                borrowers += 1
                continue
            peak_in_use = received.report.in_use.get(target_id, 0)
            lent += max(0, share - peak_in_use - RESERVED_SLOTS)
        return lent // borrowers


class LoadReporter:
    """Decides when this entry sends its load to the other entries of its zone.

    A report states the peak use since the previous report, because slots that
    were just used are not lent. One report a second is therefore enough. Only
    a new backlog is reported at once, because it makes the other entries stop
    using the slots that this entry lent.

    Attributes:
        sender: Incarnation token of this entry.
        sample_interval_s: Time between two samples of the load, in seconds.
        report_interval_s: Shortest time between two reports of a changed load,
            in seconds.
        refresh_interval_s: Time after which a report is due even if the load is
            unchanged, in seconds.
        next_sample_at: Event-loop time of the next sample, in seconds. Each
            call of `report_if_due` updates it; the caller waits until then.
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
        self._last_report = LoadReport(sender, 0, 0, {})
        self._sent_at = float("-inf")
        self._peak_in_use: dict[str, int] = {}

    def report_if_due(
        self, backlog: int, in_use: dict[str, int], now: float
    ) -> LoadReport | None:
        """Samples the load and returns a report if one is due.

        Args:
            backlog: Number of queued tasks.
            in_use: Slots in use by VM id of the target.
            now: Event-loop time, in seconds.
        """
        self.next_sample_at = now + self.sample_interval_s
        for target_id, used in in_use.items():
            self._peak_in_use[target_id] = max(
                used, self._peak_in_use.get(target_id, 0)
            )
        age = now - self._sent_at
        is_changed = self._peak_in_use != self._last_report.in_use or (
            bool(backlog) != bool(self._last_report.backlog)
        )
        reclaims_slots = backlog and not self._last_report.backlog
        is_due = age >= self.refresh_interval_s or (
            is_changed and age >= self.report_interval_s
        )
        if not (reclaims_slots or is_due):
            return None
        sequence = self._last_report.sequence + 1
        self._last_report = LoadReport(
            self.sender, sequence, backlog, self._peak_in_use
        )
        self._peak_in_use = dict(in_use)
        self._sent_at = now
        return self._last_report
