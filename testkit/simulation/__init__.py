"""Entries on a virtual clock with faults, and a checker of their history."""

from testkit.simulation._checker import check
from testkit.simulation._checker import Violation
from testkit.simulation._faults import ApplyConfiguration
from testkit.simulation._faults import CancelWave
from testkit.simulation._faults import CutZone
from testkit.simulation._faults import DrainEntry
from testkit.simulation._faults import FailingTarget
from testkit.simulation._faults import Fault
from testkit.simulation._faults import FreezeEntry
from testkit.simulation._faults import HangTarget
from testkit.simulation._faults import KillEntry
from testkit.simulation._faults import KillTarget
from testkit.simulation._faults import PlatformOutage
from testkit.simulation._faults import TargetLeaves
from testkit.simulation._history import History
from testkit.simulation._network import NetworkOptions
from testkit.simulation._scenario import run_scenario
from testkit.simulation._scenario import Scenario

__all__ = [
    "ApplyConfiguration",
    "CancelWave",
    "CutZone",
    "DrainEntry",
    "FailingTarget",
    "Fault",
    "FreezeEntry",
    "HangTarget",
    "History",
    "KillEntry",
    "KillTarget",
    "NetworkOptions",
    "PlatformOutage",
    "Scenario",
    "TargetLeaves",
    "Violation",
    "check",
    "run_scenario",
]
