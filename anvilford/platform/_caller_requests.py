"""Decodes callers' jobs and encodes the answers to them."""

import json
from typing import Any

import attrs

from anvilford.placement import JobSpec
from anvilford.placement import Resources
from anvilford.placement import StepSpec

# Lower case, as parsed headers are kept. The value is a length of time, not a
# moment.
DEADLINE_HEADER = "x-anvilford-deadline-ms"
JOB_ID_HEX_DIGITS = 16

# Kinds of step that are not placed yet. A job with one of them is refused.
_UNSUPPORTED_STEP = ("gang", "rack_local", "image", "fills", "may_miss")
_MOST_TASKS = 10_000


@attrs.frozen
class InvalidJobBody:
    """The body is not a job."""

    reason: str


@attrs.frozen
class UnsupportedJob:
    """A job of a kind that is not served."""

    feature: str


def decode_job(body: bytes) -> JobSpec | InvalidJobBody | UnsupportedJob:
    """Decodes the body of a submission."""
    try:
        raw = json.loads(body)
        if not raw.get("best_effort"):
            return UnsupportedJob("stored job")
        for name in ("long_running", "repeat_count"):
            if raw.get(name):
                return UnsupportedJob(name)
        for step in raw["steps"]:
            for name in _UNSUPPORTED_STEP:
                if step.get(name):
                    return UnsupportedJob(name)
        steps = tuple(_step(n, step) for n, step in enumerate(raw["steps"]))
        if not 0 < sum(step.count for step in steps) <= _MOST_TASKS:
            return InvalidJobBody("number of tasks")
        return JobSpec(str(raw.get("spec", "")), steps)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return InvalidJobBody(repr(error))


def _step(number: int, raw: dict[str, Any]) -> StepSpec:
    after = tuple(int(n) for n in raw.get("after", ()))
    if any(not 0 <= n < number for n in after):
        raise ValueError("a step may only wait for earlier ones")
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
        # "affinity" names the rack where the data is.
        rack=str(raw.get("affinity", "")),
        # "anti_affinity" is a number of tasks, not a label.
        spread_limit=int(raw.get("anti_affinity", 0)),
    )


def encode_job_state(is_completed: bool) -> bytes:
    """Body for a job that has ended."""
    return b'{"state":"completed"}' if is_completed else b'{"state":"failed"}'


def encode_pending_count(count: int) -> bytes:
    """Body for the number of jobs that have not begun."""
    return json.dumps({"pending": count}).encode()
