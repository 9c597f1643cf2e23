"""Client of the users' platform: its names, formats and HTTP calls.

This package translates between the platform's JSON and the types of the
dispatcher. It takes no scheduling decisions.
"""

from anvilford.platform._caller_requests import DEADLINE_HEADER
from anvilford.platform._caller_requests import decode_deadline_s
from anvilford.platform._caller_requests import decode_job
from anvilford.platform._caller_requests import DEFAULT_DEADLINE_S
from anvilford.platform._caller_requests import encode_invalid_job
from anvilford.platform._caller_requests import encode_job_state
from anvilford.platform._caller_requests import encode_pending_count
from anvilford.platform._caller_requests import InvalidJobBody
from anvilford.platform._caller_requests import JOB_ID_HEX_DIGITS
from anvilford.platform._caller_requests import JobState
from anvilford.platform._caller_requests import MAX_DEADLINE_S
from anvilford.platform._caller_requests import UnsupportedJob
from anvilford.platform._decoding import DECODE_ERRORS
from anvilford.platform._documents import CONFIGURATION_KEY
from anvilford.platform._documents import decode_configuration
from anvilford.platform._documents import decode_evacuation
from anvilford.platform._documents import decode_target
from anvilford.platform._documents import EvacuationRow
from anvilford.platform._documents import MalformedDocument
from anvilford.platform._documents import OPERATOR_TABLE
from anvilford.platform._documents import TARGET_TABLE
from anvilford.platform._store import Conflict
from anvilford.platform._store import HistoryLost
from anvilford.platform._store import Snapshot
from anvilford.platform._store import StoreClient
from anvilford.platform._store import StoreFailed
from anvilford.platform._store import StoreRow
from anvilford.platform._store import Written
from anvilford.platform._target_calls import TargetClient

__all__ = [
    "CONFIGURATION_KEY",
    "Conflict",
    "DECODE_ERRORS",
    "DEADLINE_HEADER",
    "EvacuationRow",
    "DEFAULT_DEADLINE_S",
    "MAX_DEADLINE_S",
    "decode_deadline_s",
    "encode_invalid_job",
    "HistoryLost",
    "JOB_ID_HEX_DIGITS",
    "JobState",
    "InvalidJobBody",
    "MalformedDocument",
    "OPERATOR_TABLE",
    "Snapshot",
    "StoreClient",
    "StoreFailed",
    "StoreRow",
    "TARGET_TABLE",
    "TargetClient",
    "UnsupportedJob",
    "Written",
    "decode_configuration",
    "decode_evacuation",
    "decode_job",
    "decode_target",
    "encode_pending_count",
    "encode_job_state",
]
