"""Leader election: selects the entry that places jobs, without any I/O."""

from anvilford.leadership._election import ClaimRow
from anvilford.leadership._election import decide_action
from anvilford.leadership._election import ElectionAction
from anvilford.leadership._election import ElectionState
from anvilford.leadership._election import find_better_leader
from anvilford.leadership._election import find_leader
from anvilford.leadership._election import Follow
from anvilford.leadership._election import Lead
from anvilford.leadership._election import ROW_STALE_AFTER_S
from anvilford.leadership._election import Wait
from anvilford.leadership._model import digest_members
from anvilford.leadership._model import FENCING_TOKENS_PER_TERM
from anvilford.leadership._model import Leader
from anvilford.leadership._model import Member
from anvilford.leadership._model import Opinion

__all__ = [
    "ClaimRow",
    "FENCING_TOKENS_PER_TERM",
    "Follow",
    "Lead",
    "Leader",
    "Member",
    "ElectionAction",
    "Opinion",
    "ROW_STALE_AFTER_S",
    "ElectionState",
    "Wait",
    "decide_action",
    "digest_members",
    "find_better_leader",
    "find_leader",
]
