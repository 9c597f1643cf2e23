"""The platform of a simulated run: VM list with lag and one table row."""

import attrs

from anvilford.configuration import next_row_value
from anvilford.configuration import parse_document
from anvilford.configuration import parse_row
from anvilford.protocol import Mark
from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from testkit.simulation._history import ConfigurationAccepted
from testkit.simulation._history import History


class SimulatedPlatform:
    """Table row and VM list.

    Attributes:
        history: Where accepted configurations are recorded.
        is_down: True during an outage.
        lag: Age of the list that is served, in seconds.
        row: Version and value of the configuration row.
        marks: Version and content of the row of operator marks.
    """

    def __init__(self, history: History):
        self.history = history
        self.is_down = False
        self.lag = 0.8
        self.row: tuple[int, dict] = (0, {})
        self.marks: tuple[int, tuple[Mark, ...]] = (0, ())
        self._vms: dict[str, VmInfo] = {}
        self._versions: list[tuple[float, int, tuple[VmInfo, ...]]] = []
        self._revision = 0

    def add_entry(self, address: str, zone: str) -> None:
        """Lists an entry VM."""
        self._put(
            VmInfo(
                f"entry-{address}",
                VmRole.ENTRY,
                zone,
                address,
                "",
                VmState.LIVE,
            )
        )

    def add_target(
        self, vm_id: str, address: str, zone: str, service: str
    ) -> None:
        """Lists a target VM."""
        self._put(
            VmInfo(vm_id, VmRole.TARGET, zone, address, service, VmState.LIVE)
        )

    def set_leaving(self, vm_id: str, now: float) -> None:
        """Lists a VM as leaving from now on."""
        self._put(attrs.evolve(self._vms[vm_id], state=VmState.LEAVING), now)

    def entries(self) -> list[VmInfo]:
        """Entry VMs."""
        return [vm for vm in self._vms.values() if vm.role is VmRole.ENTRY]

    def list_vms(self, now: float) -> tuple[int, tuple[VmInfo, ...]]:
        """The list as it was `lag` seconds ago."""
        shown = self._versions[0]
        for version in self._versions:
            if version[0] <= max(0.0, now - self.lag):
                shown = version
        return shown[1], shown[2]

    def apply(
        self, expected_version: int, preset: str, operation: str, now: float
    ) -> bool:
        """Writes the configuration by compare-and-set."""
        version, value = self.row
        if self.is_down or version != expected_version:
            return False
        current = parse_row(version, value).ok if version else None
        document = parse_document({"preset": preset}).ok
        row = next_row_value(current, document, operation, "operator")
        self.row = (version + 1, row)
        self.history.record(ConfigurationAccepted(now, version + 1))
        return True

    def write_marks(
        self, expected_version: int, marks: tuple[Mark, ...]
    ) -> None:
        """Writes the operator marks by compare-and-set."""
        if not self.is_down and self.marks[0] == expected_version:
            self.marks = (expected_version + 1, marks)

    def _put(self, vm: VmInfo, now: float = 0.0) -> None:
        self._vms[vm.vm_id] = vm
        self._revision += 1
        self._versions.append((now, self._revision, tuple(self._vms.values())))
