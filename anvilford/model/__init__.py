"""Data types shared by all packages: ids, jobs, answers, attempt outcomes."""

from anvilford.model._answers import Answer
from anvilford.model._answers import Complete
from anvilford.model._answers import Conflict
from anvilford.model._answers import decode_answer
from anvilford.model._answers import encode_answer
from anvilford.model._answers import EncodedAnswer
from anvilford.model._answers import Expired
from anvilford.model._answers import Failed
from anvilford.model._answers import FailureReason
from anvilford.model._answers import NeverIssued
from anvilford.model._answers import NotRun
from anvilford.model._answers import OutcomeUnknown
from anvilford.model._answers import Pending
from anvilford.model._answers import RefusalReason
from anvilford.model._answers import TaskState
from anvilford.model._answers import UnknownId
from anvilford.model._answers import UnknownReason
from anvilford.model._attempts import AttemptFailed
from anvilford.model._attempts import AttemptNotStarted
from anvilford.model._attempts import AttemptOutcome
from anvilford.model._attempts import AttemptSucceeded
from anvilford.model._attempts import AttemptUnknown
from anvilford.model._attempts import NotStartedReason
from anvilford.model._attempts import UnknownAttemptReason
from anvilford.model._failures import InvalidJob
from anvilford.model._failures import InvalidSubmissionId
from anvilford.model._ids import Incarnation
from anvilford.model._ids import parse_submission_id
from anvilford.model._ids import SubmissionId
from anvilford.model._jobs import canonical_json
from anvilford.model._jobs import JobLimits
from anvilford.model._jobs import JobSpec
from anvilford.model._jobs import parse_job
from anvilford.model._jobs import TaskSpec

__all__ = [
    "Answer",
    "AttemptFailed",
    "AttemptNotStarted",
    "AttemptOutcome",
    "AttemptSucceeded",
    "AttemptUnknown",
    "Complete",
    "Conflict",
    "EncodedAnswer",
    "Expired",
    "Failed",
    "FailureReason",
    "Incarnation",
    "InvalidJob",
    "InvalidSubmissionId",
    "JobLimits",
    "JobSpec",
    "NeverIssued",
    "NotRun",
    "NotStartedReason",
    "OutcomeUnknown",
    "Pending",
    "RefusalReason",
    "SubmissionId",
    "TaskSpec",
    "TaskState",
    "UnknownAttemptReason",
    "UnknownId",
    "UnknownReason",
    "canonical_json",
    "decode_answer",
    "encode_answer",
    "parse_job",
    "parse_submission_id",
]
