"""Jobs as submitted by callers, and their parsing and validation."""

import hashlib
import json
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.model._failures import InvalidJob


@attrs.frozen
class JobLimits:
    """Limits on a single job.

    Attributes:
        body_bytes: Maximum size of the request body, in bytes.
        tasks: Maximum number of tasks.
        nesting: Maximum nesting depth of objects and lists in a payload.
        deadline_ms: Maximum time to the deadline, in milliseconds.
    """

    body_bytes: int = 4 * 1024 * 1024
    tasks: int = 1100
    nesting: int = 32
    deadline_ms: int = 120_000


@attrs.frozen
class TaskSpec:
    """One task of a job.

    Attributes:
        operation: Name of the operation that the target executes.
        payload: JSON value passed to the operation.
        declared_ms: Run time declared by the caller, in milliseconds, or None.
            It may be wrong by a factor of ten in either direction.
    """

    operation: str
    payload: Any
    declared_ms: float | None = None


@attrs.frozen
class JobSpec:
    """A validated job.

    Attributes:
        service: Name of the service that runs the tasks.
        tasks: Tasks of the job; results are returned in the same order.
        deadline_ms: Time from receipt until the answer is due, in
            milliseconds.
        repeatable: Whether a task may run again after a definite failure.
        digest: SHA-256 of the canonical JSON in hexadecimal; distinguishes a
            resubmission from a different job under the same id.
    """

    service: str
    tasks: tuple[TaskSpec, ...]
    deadline_ms: int
    repeatable: bool
    digest: str


def canonical_json(value: Any) -> bytes:
    """Encodes a JSON value such that equal values have equal bytes."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def parse_job(
    body: bytes, limits: JobLimits = JobLimits()
) -> Result[JobSpec, InvalidJob]:
    """Parses and validates the job in a request body.

    Args:
        body: JSON text as received.
        limits: Limits that the job must not exceed.

    Returns:
        The job, or the first violation found.
    """
    if len(body) > limits.body_bytes:
        return Error(InvalidJob("", f"at most {limits.body_bytes} bytes"))
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return Error(InvalidJob("", "JSON"))
    violation = _validate_job(document, limits)
    if violation is not None:
        return Error(violation)
    tasks = tuple(
        TaskSpec(t["operation"], t.get("payload"), t.get("declared_ms"))
        for t in document["tasks"]
    )
    return Ok(
        JobSpec(
            service=document["service"],
            tasks=tasks,
            deadline_ms=document["deadline_ms"],
            repeatable=document.get("repeatable", True),
            digest=hashlib.sha256(canonical_json(document)).hexdigest(),
        )
    )


def _validate_job(document: Any, limits: JobLimits) -> InvalidJob | None:
    if not isinstance(document, dict):
        return InvalidJob("", "a JSON object")
    allowed = {"service", "tasks", "deadline_ms", "repeatable"}
    unknown = sorted(set(document) - allowed)
    if unknown:
        return InvalidJob(
            unknown[0], f"absent; the allowed keys are {sorted(allowed)}"
        )
    if not _is_valid_name(document.get("service")):
        return InvalidJob("service", "a name of 1 to 128 characters")
    deadline_ms = document.get("deadline_ms")
    if not _is_integer(deadline_ms) or not (
        1 <= deadline_ms <= limits.deadline_ms
    ):
        return InvalidJob(
            "deadline_ms", f"an integer from 1 to {limits.deadline_ms}"
        )
    if not isinstance(document.get("repeatable", True), bool):
        return InvalidJob("repeatable", "true or false")
    tasks = document.get("tasks")
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= limits.tasks:
        return InvalidJob("tasks", f"a list of 1 to {limits.tasks} tasks")
    for index, task in enumerate(tasks):
        violation = _validate_task(task, f"tasks/{index}", limits)
        if violation is not None:
            return violation
    return None


def _validate_task(
    task: Any, path: str, limits: JobLimits
) -> InvalidJob | None:
    if not isinstance(task, dict):
        return InvalidJob(path, "a JSON object")
    allowed = {"operation", "payload", "declared_ms"}
    unknown = sorted(set(task) - allowed)
    if unknown:
        return InvalidJob(
            f"{path}/{unknown[0]}",
            f"absent; the allowed keys are {sorted(allowed)}",
        )
    if not _is_valid_name(task.get("operation")):
        return InvalidJob(f"{path}/operation", "a name of 1 to 128 characters")
    declared = task.get("declared_ms")
    if declared is not None and (
        isinstance(declared, bool)
        or not isinstance(declared, (int, float))
        or not 0 <= declared <= 1e9
    ):
        return InvalidJob(f"{path}/declared_ms", "a number from 0 to 1e9")
    if not _is_nested_within(task.get("payload"), limits.nesting):
        return InvalidJob(
            f"{path}/payload", f"nested at most {limits.nesting} levels deep"
        )
    return None


def _is_valid_name(value: Any) -> bool:
    return isinstance(value, str) and 1 <= len(value) <= 128


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_nested_within(value: Any, levels: int) -> bool:
    if isinstance(value, dict):
        return levels > 0 and all(
            _is_nested_within(v, levels - 1) for v in value.values()
        )
    if isinstance(value, list):
        return levels > 0 and all(
            _is_nested_within(v, levels - 1) for v in value
        )
    return True
