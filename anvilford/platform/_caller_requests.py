"""Decodes jobs that callers submit and encodes the response bodies."""

import enum
import json
from typing import Any

import attrs

from anvilford.placement import JobSpec
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.platform._decoding import DECODE_ERRORS

# Name of the header in lower case, because parsed headers have lower-case
# names. Its value is a duration in milliseconds, not a point in time.
DEADLINE_HEADER = "x-anvilford-deadline-ms"
# Length of a job id, in hexadecimal digits.
JOB_ID_HEX_DIGITS = 16

# Fields of a step that the placement does not support yet. A job that sets one
# of them is refused.
_UNSUPPORTED_STEP_FIELDS = ("gang", "rack_local", "image", "fills", "may_miss")
_MAX_TASKS_PER_JOB = 10_000


@attrs.frozen
class InvalidJobBody:
    """The request body cannot be decoded as a job.

    Attributes:
        reason: What is wrong with the body, for logs.
    """

    reason: str


@attrs.frozen
class UnsupportedJob:
    """The job is valid but uses a feature that is not supported.

    Attributes:
        feature: The unsupported feature; part of the refusal's reason in logs
            and metrics.
    """

    feature: str


def decode_job(body: bytes) -> JobSpec | InvalidJobBody | UnsupportedJob:
    """Decodes the JSON body of a job submission.

    Args:
        body: The request body.

    Returns:
        The job, or why it cannot be accepted. A job that sets an unsupported
        field is refused as a whole, so that no part of it is dropped silently.
    """
    try:
        raw = json.loads(body)
        if not raw.get("best_effort"):
            return UnsupportedJob("stored job")
        for name in ("long_running", "repeat_count"):
            if raw.get(name):
                return UnsupportedJob(name)
        for step in raw["steps"]:
            for name in _UNSUPPORTED_STEP_FIELDS:
                if step.get(name):
                    return UnsupportedJob(name)
        steps = tuple(
            _decode_step(n, step) for n, step in enumerate(raw["steps"])
        )
        if not 0 < sum(step.count for step in steps) <= _MAX_TASKS_PER_JOB:
            return InvalidJobBody(
                f"a job must have from 1 to {_MAX_TASKS_PER_JOB} tasks"
            )
        return JobSpec(str(raw.get("spec", "")), steps)
    except DECODE_ERRORS as error:
        return InvalidJobBody(repr(error))


def _decode_step(number: int, raw: dict[str, Any]) -> StepSpec:
    after = tuple(int(n) for n in raw.get("after", ()))
    if any(not 0 <= n < number for n in after):
        raise ValueError("'after' may only name earlier steps")
    return StepSpec(
        count=int(raw.get("count", 0)),
        need=Resources(
            int(raw.get("cpu", 0)),
            int(raw.get("mem_mb", 0)),
            int(raw.get("gpu", 0)),
        ),
        estimate_ms=int(raw.get("estimate_ms", 0)),
        after=after,
        label=str(raw.get("requires", "")),
        # "affinity" is the name of the rack that holds the input data.
        rack=str(raw.get("affinity", "")),
        # "anti_affinity" is the largest number of tasks of the step on one
        # target, not a label.
        spread_limit=int(raw.get("anti_affinity", 0)),
    )


class JobState(enum.StrEnum):
    """Final state of a job, in the platform's words."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"


def encode_job_state(state: JobState) -> bytes:
    """Encodes the response body for a job that has ended."""
    return json.dumps({"state": state}, separators=(",", ":")).encode()


def encode_pending_count(count: int) -> bytes:
    """Encodes the response body with the number of jobs not yet started."""
    return json.dumps({"pending": count}).encode()
