"""Simulated platform: a delayed VM list and two table rows."""

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
    """Keeps the VM list, the configuration and the operator marks in memory.

    Attributes:
        history: Receives the stored configurations.
        is_down: True during an outage.
        list_lag: Age of the VM list that entries receive, in seconds.
        configuration_row: Version and value of the configuration row.
        marks_row: Version and content of the row of operator marks.
    """

    def __init__(self, history: History):
        self.history = history
        self.is_down = False
        self.list_lag = 0.8
        self.configuration_row: tuple[int, dict] = (0, {})
        self.marks_row: tuple[int, tuple[Mark, ...]] = (0, ())
        self._vms: dict[str, VmInfo] = {}
        self._versions: list[tuple[float, int, tuple[VmInfo, ...]]] = []
        self._revision = 0

    def add_entry(self, address: str, zone: str) -> None:
        """Adds an entry VM to the list."""
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
        """Adds a target VM to the list."""
        self._put(
            VmInfo(vm_id, VmRole.TARGET, zone, address, service, VmState.LIVE)
        )

    def set_leaving(self, vm_id: str, now: float) -> None:
        """Changes the state of a VM to leaving at the time `now`."""
        self._put(attrs.evolve(self._vms[vm_id], state=VmState.LEAVING), now)

    def entries(self) -> list[VmInfo]:
        """Returns the entry VMs."""
        return [vm for vm in self._vms.values() if vm.role is VmRole.ENTRY]

    def list_vms(self, now: float) -> tuple[int, tuple[VmInfo, ...]]:
        """Returns revision and VMs of the list as of `list_lag` seconds ago."""
        shown = self._versions[0]
        for version in self._versions:
            if version[0] <= max(0.0, now - self.list_lag):
                shown = version
        return shown[1], shown[2]

    def apply(
        self, expected_version: int, preset: str, operation: str, now: float
    ) -> bool:
        """Writes the configuration by compare-and-set.

        Returns:
            Whether it was written: the platform is up and the stored version
            is the expected one.
        """
        version, value = self.configuration_row
        if self.is_down or version != expected_version:
            return False
        current = parse_row(version, value).ok if version else None
        document = parse_document({"preset": preset}).ok
        row = next_row_value(current, document, operation, "operator")
        self.configuration_row = (version + 1, row)
        self.history.record(ConfigurationAccepted(now, version + 1))
        return True

    def write_marks(
        self, expected_version: int, marks: tuple[Mark, ...]
    ) -> None:
        """Writes the operator marks by compare-and-set.

        Nothing happens in an outage or if the version is not the expected one.
        """
        if not self.is_down and self.marks_row[0] == expected_version:
            self.marks_row = (expected_version + 1, marks)

    def _put(self, vm: VmInfo, now: float = 0.0) -> None:
        self._vms[vm.vm_id] = vm
        self._revision += 1
        self._versions.append((now, self._revision, tuple(self._vms.values())))
