"""Admission, queueing, placement and target health; performs no I/O."""

from anvilford.scheduling._dispatcher import Dispatcher
from anvilford.scheduling._effects import CancelAttempt
from anvilford.scheduling._effects import DispatcherStats
from anvilford.scheduling._effects import Effect
from anvilford.scheduling._effects import JobFinished
from anvilford.scheduling._effects import StartAttempt
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._policy import ServicePolicy
from anvilford.scheduling._policy import TargetView

__all__ = [
    "CancelAttempt",
    "Dispatcher",
    "DispatcherStats",
    "Effect",
    "JobFinished",
    "Policy",
    "ServicePolicy",
    "StartAttempt",
    "TargetView",
]
