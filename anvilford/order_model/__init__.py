"""Targets that take orders, on a virtual clock.

For tests of placement, and for comparing policies with what a dispatcher could
earn that knows the future: `python -m anvilford.order_model SCENARIO.json`.
"""

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import draw_arrivals
from anvilford.order_model._load import JobKind
from anvilford.order_model._load import Result
from anvilford.order_model._site import InjectedFaults
from anvilford.order_model._site import PlacementSimulation
from anvilford.order_model._target import FakeTarget
from anvilford.order_model._target import overlapping_tasks

__all__ = [
    "Arrival",
    "FakeTarget",
    "JobKind",
    "PlacementSimulation",
    "Result",
    "InjectedFaults",
    "draw_arrivals",
    "overlapping_tasks",
]
