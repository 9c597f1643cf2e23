"""Decodes jobs that callers submit and encodes the response bodies."""

import enum
import json
from typing import Any

import attrs

from anvilford.placement import JobSpec
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.platform._decoding import DECODE_ERRORS
from anvilford.platform._job_fields import InvalidFieldError
from anvilford.platform._job_fields import MAX_SPEC_BYTES
from anvilford.platform._job_fields import MAX_STEPS_PER_JOB
from anvilford.platform._job_fields import MAX_TASKS_PER_JOB
from anvilford.platform._job_fields import read_earlier_steps
from anvilford.platform._job_fields import read_step_numbers
from anvilford.platform._job_fields import read_text

# Name of the header in lower case, because parsed headers have lower-case
# names. Its value is a duration in milliseconds, not a point in time.
DEADLINE_HEADER = "x-anvilford-deadline-ms"
# Deadline of requests that carry none, in seconds. The users' requirements state
# 1.5 s for all kinds of jobs.
DEFAULT_DEADLINE_S = 1.5
# Longer deadlines are cut to a day: timers of the event loop take no longer ones.
MAX_DEADLINE_S = 86_400
# Length of a job id, in hexadecimal digits.
JOB_ID_HEX_DIGITS = 16

# Fields of a step that the placement does not support yet. A job that sets one
# of them is refused.
_UNSUPPORTED_STEP_FIELDS = ("gang", "rack_local", "image", "fills", "may_miss")
# Longest text of an error of the JSON decoder in a log line.
MAX_REASON_CHARACTERS = 200
_JOB_DESCRIPTION = "a JSON object with the fields of a job"


@attrs.frozen
class InvalidJobBody:
    """The request body cannot be decoded as a job.

    Attributes:
        reason: What is wrong with the body, for logs.
        field: Path of the field, such as "steps[0].cpu"; empty for the body.
        allowed: Description of the values that are allowed there.
    """

    reason: str
    field: str
    allowed: str


@attrs.frozen
class UnsupportedJob:
    """The job is valid but uses a feature that is not supported.

    Attributes:
        feature: The unsupported feature; part of the refusal's reason in logs
            and metrics.
    """

    feature: str


def decode_deadline_s(text: str | None) -> float:
    """Decodes the deadline header of a request.

    Args:
        text: Value of the header; None if there is none.

    Returns:
        Time for which the caller waits, in seconds from 0 to `MAX_DEADLINE_S`.
        `DEFAULT_DEADLINE_S` if the value is no integer.
    """
    try:
        milliseconds = int(text or "")
    except ValueError:
        return DEFAULT_DEADLINE_S
    return max(0, min(milliseconds, MAX_DEADLINE_S * 1000)) / 1000


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
        if not isinstance(raw, dict):
            raise InvalidFieldError("", _JOB_DESCRIPTION)
        if not raw.get("best_effort"):
            return UnsupportedJob("stored job")
        for name in ("long_running", "repeat_count"):
            if raw.get(name):
                return UnsupportedJob(name)
        raw_steps = _read_steps(raw)
        for step in raw_steps:
            for name in _UNSUPPORTED_STEP_FIELDS:
                if step.get(name):
                    return UnsupportedJob(name)
        steps = tuple(_decode_step(n, step) for n, step in enumerate(raw_steps))
        if not 0 < sum(step.count for step in steps) <= MAX_TASKS_PER_JOB:
            raise InvalidFieldError(
                "steps[].count", f"from 1 to {MAX_TASKS_PER_JOB} in all steps"
            )
        spec = read_text(raw.get("spec", ""), "spec", MAX_SPEC_BYTES)
        return JobSpec(spec, steps)
    except InvalidFieldError as error:
        return InvalidJobBody(str(error), error.field, error.allowed)
    except DECODE_ERRORS as error:
        # The representation of some errors holds the whole body.
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
        return InvalidJobBody(reason, "", _JOB_DESCRIPTION)


def _read_steps(raw: dict[str, Any]) -> list[dict[str, Any]]:
    steps = raw.get("steps")
    if not isinstance(steps, list) or len(steps) > MAX_STEPS_PER_JOB:
        raise InvalidFieldError(
            "steps", f"a list of at most {MAX_STEPS_PER_JOB} objects"
        )
    for number, step in enumerate(steps):
        if not isinstance(step, dict):
            raise InvalidFieldError(f"steps[{number}]", "an object")
    return steps


def _decode_step(number: int, raw: dict[str, Any]) -> StepSpec:
    path = f"steps[{number}]"
    numbers = read_step_numbers(raw, path)
    return StepSpec(
        count=numbers["count"],
        need=Resources(numbers["cpu"], numbers["mem_mb"], numbers["gpu"]),
        estimate_ms=numbers["estimate_ms"],
        after=read_earlier_steps(raw, number, path),
        label=read_text(raw.get("requires", ""), f"{path}.requires"),
        # "affinity" is the name of the rack that holds the input data.
        rack=read_text(raw.get("affinity", ""), f"{path}.affinity"),
        # "anti_affinity" is the largest number of tasks of the step on one
        # target, not a label.
        spread_limit=numbers["anti_affinity"],
    )


def encode_invalid_job(invalid: InvalidJobBody) -> bytes:
    """Encodes the response body that names the field and its allowed values."""
    answer = {
        "error": "invalid_job",
        "field": invalid.field,
        "allowed": invalid.allowed,
    }
    return json.dumps(answer).encode()


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
