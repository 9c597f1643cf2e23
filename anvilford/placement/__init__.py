"""Placement of jobs on targets: decisions only, without I/O.

A caller of this package passes events with their time to a `Placer`, and
carries out the effects that it returns: commands to targets, outcomes of jobs
and log lines.
"""

from anvilford.placement._crashes import CrashHistory
from anvilford.placement._crashes import LossState
from anvilford.placement._crashes import TargetLoss
from anvilford.placement._model import CANCELED_OUTCOME
from anvilford.placement._model import CancelResult
from anvilford.placement._model import JobSpec
from anvilford.placement._model import Offer
from anvilford.placement._model import Outcome
from anvilford.placement._model import OutcomeKind
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import QueuePolicy
from anvilford.placement._model import Resources
from anvilford.placement._model import RESUBMIT_PAUSE_S
from anvilford.placement._model import StepSpec
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Accepted
from anvilford.placement._orders import Decision
from anvilford.placement._orders import Effect
from anvilford.placement._orders import EndedTask
from anvilford.placement._orders import FenceLost
from anvilford.placement._orders import LifeReplaced
from anvilford.placement._orders import NoAnswer
from anvilford.placement._orders import NotSent
from anvilford.placement._orders import OrderAnswer
from anvilford.placement._orders import Poll
from anvilford.placement._orders import PollAnswer
from anvilford.placement._orders import Refusal
from anvilford.placement._orders import Refused
from anvilford.placement._orders import Report
from anvilford.placement._orders import Restarted
from anvilford.placement._orders import RunEnd
from anvilford.placement._orders import RunningTask
from anvilford.placement._orders import Settle
from anvilford.placement._orders import StartRun
from anvilford.placement._orders import StopRun
from anvilford.placement._permissions import ANSWER_AGE_S
from anvilford.placement._permissions import EntryPermissions
from anvilford.placement._permissions import PROOF_TIMEOUT_S
from anvilford.placement._placer import Placer
from anvilford.placement._run_numbers import RUNS_PER_FENCE

__all__ = [
    "ANSWER_AGE_S",
    "Accepted",
    "CANCELED_OUTCOME",
    "CancelResult",
    "CrashHistory",
    "Decision",
    "Effect",
    "EndedTask",
    "EntryPermissions",
    "FenceLost",
    "JobSpec",
    "LifeReplaced",
    "LossState",
    "NoAnswer",
    "NotSent",
    "Offer",
    "OrderAnswer",
    "Outcome",
    "OutcomeKind",
    "Placer",
    "PROOF_TIMEOUT_S",
    "PlacementOptions",
    "Poll",
    "PollAnswer",
    "QueuePolicy",
    "Refusal",
    "Refused",
    "Report",
    "RESUBMIT_PAUSE_S",
    "Resources",
    "Restarted",
    "RUNS_PER_FENCE",
    "RunEnd",
    "RunningTask",
    "Settle",
    "StartRun",
    "StepSpec",
    "StopRun",
    "TargetLoss",
    "TargetRecord",
]
