"""HTTP client for targets whose outcomes tell whether a task may have run."""

from anvilford.targets._classification import classify_answer
from anvilford.targets._classification import classify_error
from anvilford.targets._client import TargetClient
from anvilford.targets._settings import AttemptToCancel
from anvilford.targets._settings import AttemptToStart
from anvilford.targets._settings import TargetSettings

__all__ = [
    "AttemptToCancel",
    "AttemptToStart",
    "TargetClient",
    "TargetSettings",
    "classify_answer",
    "classify_error",
]
