"""Decides which values the fields of a caller's job may have.

The ranges admit every job that a site can run within a request. They keep the
sums and products that placement computes far within 64-bit integers and floats:
10,000 tasks of 1,000 cores for a day are 8.6e17 thousandths of a core times
milliseconds.
"""

import math
from typing import Any

import attrs

# The leader handles each task of a job on its own.
MAX_TASKS_PER_JOB = 10_000
# Placement looks at all tasks of a job for each of its steps. For 10,000 tasks, a
# dispatch takes 0.05 s with 100 steps and 0.43 s with 1,000; a leader that is held
# up for 0.25 s is replaced.
MAX_STEPS_PER_JOB = 100
# A thousand cores. The largest targets of the sites have 48.
MAX_CPU_MILLIS = 1_000_000
# 16 TB, more than any machine has.
MAX_MEMORY_MB = 16_777_216
# More than any machine has.
MAX_GPUS = 1_024
# A day. Callers wait for their jobs for some seconds.
MAX_ESTIMATE_MS = 86_400_000
# Limit of the platform.
MAX_SPEC_BYTES = 4_000
# Names in the rows of targets have at most 200 characters of four bytes, so that a
# longer one matches none.
MAX_NAME_BYTES = 800


class InvalidFieldError(ValueError):
    """A field of a job has a value that is not allowed.

    Attributes:
        field: Path of the field, such as "steps[0].cpu"; empty for the body.
        allowed: Description of the values that are allowed.
    """

    def __init__(self, field: str, allowed: str):
        super().__init__(f"{field or 'the body'} must be {allowed}")
        self.field = field
        self.allowed = allowed


@attrs.frozen
class NumberRange:
    """Numbers that a field may have, from 0 on.

    A float without a fraction counts as an integer, as JSON does not tell 1000
    from 1.0e3. Amounts with a fraction are rounded up, so that a task gets what
    it needs.

    Attributes:
        most: Largest value.
        is_amount: Whether the value may have a fraction.
    """

    most: int
    is_amount: bool = False

    @property
    def description(self) -> str:
        """Description of the range, for callers."""
        kind = "a number" if self.is_amount else "an integer"
        return f"{kind} from 0 to {self.most}"

    def read(self, value: Any, field: str) -> int:
        """Returns the value of a field as an integer.

        Raises:
            InvalidFieldError: It is no number, or out of range.
        """
        # Booleans are integers in Python. NaN fails the comparison.
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not 0 <= value <= self.most
        ):
            raise InvalidFieldError(field, self.description)
        whole = math.ceil(value)
        if whole != value and not self.is_amount:
            raise InvalidFieldError(field, self.description)
        return whole


# Ranges by name of the field of a step.
STEP_NUMBERS = {
    "count": NumberRange(MAX_TASKS_PER_JOB),
    "cpu": NumberRange(MAX_CPU_MILLIS, is_amount=True),
    "mem_mb": NumberRange(MAX_MEMORY_MB, is_amount=True),
    "gpu": NumberRange(MAX_GPUS),
    "estimate_ms": NumberRange(MAX_ESTIMATE_MS, is_amount=True),
    # Largest number of tasks of the step on one target; 0 for no limit.
    "anti_affinity": NumberRange(MAX_TASKS_PER_JOB),
}


def read_step_numbers(step: dict[str, Any], path: str) -> dict[str, int]:
    """Returns the numeric fields of a step; those that are absent are 0.

    Args:
        step: The step.
        path: Path of the step, such as "steps[0]".

    Raises:
        InvalidFieldError: A field is no number, or out of range.
    """
    return {
        name: numbers.read(step.get(name, 0), f"{path}.{name}")
        for name, numbers in STEP_NUMBERS.items()
    }


def read_earlier_steps(
    step: dict[str, Any], number: int, path: str
) -> tuple[int, ...]:
    """Returns the indices of the steps that a step waits for, each once.

    Args:
        step: The step.
        number: Index of the step.
        path: Path of the step.

    Raises:
        InvalidFieldError: The field is not a list of earlier steps.
    """
    value = step.get("after", [])
    field = f"{path}.after"
    allowed = (
        f"a list of integers from 0 to {number - 1}"
        if number
        else "an empty list, as no step comes before"
    )
    if not isinstance(value, list):
        raise InvalidFieldError(field, allowed)
    earlier = NumberRange(number - 1)
    try:
        return tuple({earlier.read(index, field): None for index in value})
    except InvalidFieldError:
        raise InvalidFieldError(field, allowed) from None


def read_text(value: Any, field: str, most_bytes: int = MAX_NAME_BYTES) -> str:
    """Returns the value of a field that holds a text.

    Args:
        value: The value.
        field: Path of the field.
        most_bytes: Longest text that is allowed, in bytes of UTF-8.

    Raises:
        InvalidFieldError: It is no text, too long, or has lone surrogates, which
            no message to another entry can hold.
    """
    try:
        if isinstance(value, str) and len(value.encode()) <= most_bytes:
            return value
    except UnicodeEncodeError:
        pass
    raise InvalidFieldError(
        field, f"a string of at most {most_bytes} bytes in UTF-8"
    )
