"""Targets that this entry may use and the number of slots on each."""

from anvilford.entry._events import Effect
from anvilford.entry._events import SendToPeer
from anvilford.entry._options import CoreOptions
from anvilford.entry._services import ServiceDispatchers
from anvilford.membership import MembershipDirectory
from anvilford.model import Incarnation
from anvilford.protocol import LoadReport
from anvilford.protocol import VmInfo
from anvilford.scheduling import TargetView
from anvilford.shares import LoadReporter
from anvilford.shares import LoadReports
from anvilford.shares import slot_share


class TargetShares:
    """Keeps the dispatchers' targets and their slots up to date.

    The slots of a target are divided among the entries of its zone by weight.
    An entry may also borrow slots that other entries of the zone report as
    idle.

    Attributes:
        me: Incarnation of this process.
        options: Slots, connections, weight and report intervals.
        directory: Known VMs and entries.
        services: Dispatchers that receive the targets.
        reports: Load reports of the other entries of the zone.
        reporter: Creates the load reports of this entry.
    """

    def __init__(
        self,
        me: Incarnation,
        options: CoreOptions,
        directory: MembershipDirectory,
        services: ServiceDispatchers,
    ):
        self.me = me
        self.options = options
        self.directory = directory
        self.services = services
        self.reports = LoadReports(options.suspect_after)
        self.reporter = LoadReporter(
            me.token,
            options.load_sample_interval,
            options.min_report_interval,
            options.max_report_interval,
        )
        self._applied_inputs: tuple | None = None
        # Caches the slots of each entry, by target and by entry token. The
        # cache is cleared when the directory or the weights change, while the
        # dispatchers' views are also rebuilt when a reported load changes.
        self._slot_shares: dict[str, dict[str, int]] = {}

    def advance(self, now: float) -> list[Effect]:
        """Updates the dispatchers' targets and reports this entry's load.

        The load changes with events only, and gossip wakes the entry often
        enough for periodic reports, so there is no wake-up time for this
        method. Ten wake-ups a second took 0.8% of a core of an idle entry.

        Args:
            now: Loop time in seconds.

        Returns:
            A load report for each live entry of the zone if one is due.
        """
        self.reports.expire(now)
        zone_peers = [
            entry
            for entry in self.directory.live_entries(
                now, self.options.suspect_after
            )
            if entry.incarnation.zone == self.me.zone
            and entry.incarnation != self.me
        ]
        weights = {
            entry.incarnation.token: entry.weight
            for entry in zone_peers
            if not entry.draining
        }
        weights[self.me.token] = self.options.weight
        inputs = (self.directory.fingerprint(), weights, self.reports.revision)
        if inputs != self._applied_inputs:
            if (
                self._applied_inputs is None
                or self._applied_inputs[:2] != inputs[:2]
            ):
                self._slot_shares.clear()
            self._applied_inputs = inputs
            self._apply_views(weights, now)
        if not self.options.lending or now < self.reporter.next_sample_at:
            return []
        report = self.reporter.report_if_due(*self._measure_load(), now)
        if report is None:
            return []
        return [
            SendToPeer(entry.incarnation.address, report)
            for entry in zone_peers
        ]

    def receive_report(self, report: LoadReport, now: float) -> None:
        """Records the load report of another entry of the zone."""
        self.reports.record(report, now)

    def connection_limit(self, target_id: str) -> int:
        """Returns the number of connections this entry may open to a target.

        Args:
            target_id: VM id of the target; an unknown one counts as a target
                of another zone.
        """
        known = self.directory.vms.get(target_id)
        is_home = known is not None and known.info.zone == self.me.zone
        return self.options.connections.limit(is_home)

    def _apply_views(self, weights: dict[str, float], now: float) -> None:
        views: dict[str, list[TargetView]] = {}
        for vm in self.directory.targets():
            views.setdefault(vm.service, []).append(
                TargetView(
                    vm.vm_id,
                    vm.address,
                    vm.zone,
                    self._usable_slots(vm, weights),
                    self.directory.accepts_work(vm),
                )
            )
        self.services.apply_targets(views, now)

    def _usable_slots(self, vm: VmInfo, weights: dict[str, float]) -> int:
        """Returns the slots of a target that this entry may use now.

        For a target of another zone, this is the number of connections that
        the entry may open to it.
        """
        if vm.zone != self.me.zone:
            return self.options.connections.limit(is_home=False)
        shares = self._slot_shares.get(vm.vm_id)
        if shares is None:
            shares = {
                token: slot_share(self.options.slots, weights, token, vm.vm_id)
                for token in weights
            }
            self._slot_shares[vm.vm_id] = shares
        other_shares = {t: n for t, n in shares.items() if t != self.me.token}
        own_share = shares[self.me.token]
        return own_share + self.reports.borrowable_slots(vm.vm_id, other_shares)

    def _measure_load(self) -> tuple[int, dict[str, int]]:
        """Returns the number of queued tasks and the slots in use by target.

        Only targets of this entry's zone are included.
        """
        backlog = 0
        in_use: dict[str, int] = {}
        for dispatcher in self.services.dispatchers.values():
            stats = dispatcher.stats()
            backlog += stats.queued
            for target_id, used in stats.slots_in_use.items():
                known = self.directory.vms.get(target_id)
                if used and known and known.info.zone == self.me.zone:
                    in_use[target_id] = used
        return backlog, in_use
