"""Compares scheduling policies in simulations on a virtual clock."""

from anvilford.experiments._comparison import compare_policies
from anvilford.experiments._main import main
from anvilford.experiments._scenario import InvalidScenario
from anvilford.experiments._scenario import load_scenario
from anvilford.experiments._scenario import Scenario
from anvilford.experiments._simulation import POLICIES

__all__ = [
    "InvalidScenario",
    "POLICIES",
    "Scenario",
    "load_scenario",
    "main",
    "compare_policies",
]
