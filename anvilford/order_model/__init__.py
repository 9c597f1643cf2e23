"""Discrete-event simulation of placers and targets on a virtual clock.

Tests of the placement use it. It also compares scheduling policies with an
offline plan that knows all future jobs and run times:
`python -m anvilford.order_model SCENARIO.json`.
"""

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import draw_arrivals
from anvilford.order_model._load import JobKind
from anvilford.order_model._load import Result
from anvilford.order_model._site import InjectedFaults
from anvilford.order_model._site import PlacementSimulation
from anvilford.order_model._target import FakeTarget
from anvilford.order_model._target import overlapping_tasks
from anvilford.order_model._zone_cut import ZoneCutSimulation

__all__ = [
    "Arrival",
    "FakeTarget",
    "JobKind",
    "PlacementSimulation",
    "Result",
    "InjectedFaults",
    "ZoneCutSimulation",
    "draw_arrivals",
    "overlapping_tasks",
]
