"""Which targets this entry may use, and how many slots of each."""

from anvilford.entry._events import Effect
from anvilford.entry._events import SendPeer
from anvilford.entry._options import CoreOptions
from anvilford.entry._services import Services
from anvilford.membership import MembershipDirectory
from anvilford.model import Incarnation
from anvilford.protocol import LoadReport
from anvilford.protocol import VmInfo
from anvilford.scheduling import TargetView
from anvilford.shares import LoadReporter
from anvilford.shares import LoadReports
from anvilford.shares import slot_share


class TargetShares:
    """Keeps the dispatchers' view of the targets up to date.

    Attributes:
        me: This process.
        options: Slots, connections and report intervals.
        directory: Known VMs and entries.
        services: Receives the views.
        reports: Load of the other entries of the zone.
        reporter: Tells them about the load of this one.
    """

    def __init__(
        self,
        me: Incarnation,
        options: CoreOptions,
        directory: MembershipDirectory,
        services: Services,
    ):
        self.me = me
        self.options = options
        self.directory = directory
        self.services = services
        self.reports = LoadReports(options.suspect_after)
        self.reporter = LoadReporter(
            me.token,
            options.sample_interval,
            options.report_interval,
            options.report_refresh,
        )
        self._basis: tuple | None = None
        # Shares of a target by entry; they change with the weights only, while
        # views are made anew with each change of the load.
        self._shares: dict[str, dict[str, int]] = {}

    def advance(self, now: float) -> list[Effect]:
        """Applies changes of membership and load; reports the own load.

        The load changes with events only, and gossip wakes the core often
        enough for refreshes, so this asks for no wake-up of its own: ten a
        second took 0.8% of a core of an idle entry.
        """
        self.reports.expire(now)
        zone = [
            entry
            for entry in self.directory.live_entries(
                now, self.options.suspect_after
            )
            if entry.incarnation.zone == self.me.zone
            and entry.incarnation != self.me
        ]
        weights = {
            entry.incarnation.token: entry.weight
            for entry in zone
            if not entry.draining
        }
        weights[self.me.token] = self.options.weight
        basis = (self.directory.fingerprint(), weights, self.reports.revision)
        if basis != self._basis:
            if self._basis is None or self._basis[:2] != basis[:2]:
                self._shares.clear()
            self._basis = basis
            self._apply(weights, now)
        if not self.options.lending or now < self.reporter.next_sample_at:
            return []
        report = self.reporter.report_if_due(*self._load(), now)
        if report is None:
            return []
        return [SendPeer(entry.incarnation.address, report) for entry in zone]

    def observe(self, report: LoadReport, now: float) -> None:
        """Takes the load report of another entry of the zone."""
        self.reports.record(report, now)

    def connection_limit(self, target_id: str) -> int:
        """Connections that this entry may open to a target."""
        known = self.directory.vms.get(target_id)
        is_home = known is not None and known.info.zone == self.me.zone
        return self.options.connections.limit(is_home)

    def _apply(self, weights: dict[str, float], now: float) -> None:
        views: dict[str, list[TargetView]] = {}
        for vm in self.directory.targets():
            views.setdefault(vm.service, []).append(
                TargetView(
                    vm.vm_id,
                    vm.address,
                    vm.zone,
                    self._slots(vm, weights),
                    self.directory.accepts_work(vm),
                )
            )
        self.services.apply_targets(views, now)

    def _slots(self, vm: VmInfo, weights: dict[str, float]) -> int:
        if vm.zone != self.me.zone:
            return self.options.connections.limit(is_home=False)
        shares = self._shares.get(vm.vm_id)
        if shares is None:
            shares = {
                token: slot_share(self.options.slots, weights, token, vm.vm_id)
                for token in weights
            }
            self._shares[vm.vm_id] = shares
        others = {t: n for t, n in shares.items() if t != self.me.token}
        own = shares[self.me.token]
        return own + self.reports.borrowable_slots(vm.vm_id, others)

    def _load(self) -> tuple[int, dict[str, int]]:
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
