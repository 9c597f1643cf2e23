"""Simulates entries, targets and the platform on a virtual clock.

A scenario injects faults, and a checker tests the recorded history for
violations of the safety and liveness invariants P1 to P8.
"""

from testkit.simulation._checker import check_history
from testkit.simulation._checker import Violation
from testkit.simulation._faults import ApplyConfiguration
from testkit.simulation._faults import CancelWave
from testkit.simulation._faults import DrainEntry
from testkit.simulation._faults import FailingTarget
from testkit.simulation._faults import Fault
from testkit.simulation._faults import HangTarget
from testkit.simulation._faults import KillEntry
from testkit.simulation._faults import KillTarget
from testkit.simulation._faults import PartitionZone
from testkit.simulation._faults import PlatformOutage
from testkit.simulation._faults import SuspendEntry
from testkit.simulation._faults import TargetLeaving
from testkit.simulation._history import History
from testkit.simulation._network import NetworkOptions
from testkit.simulation._scenario import run_scenario
from testkit.simulation._scenario import Scenario

__all__ = [
    "ApplyConfiguration",
    "CancelWave",
    "DrainEntry",
    "FailingTarget",
    "Fault",
    "HangTarget",
    "History",
    "KillEntry",
    "KillTarget",
    "NetworkOptions",
    "PartitionZone",
    "PlatformOutage",
    "Scenario",
    "SuspendEntry",
    "TargetLeaving",
    "Violation",
    "check_history",
    "run_scenario",
]
