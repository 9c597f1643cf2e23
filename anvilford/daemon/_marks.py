"""The row of operator marks in the platform's table."""

from typing import Any

import attrs
import cattrs

from anvilford.protocol import Mark
from anvilford.tables import Row

MARKS_ROW_KEY = "target-marks"


def parse_marks(row: Row | None) -> tuple[int, tuple[Mark, ...]]:
    """Reads the row; a malformed one counts as empty and is replaced.

    Returns:
        Version of the row, 0 without one, and the marks.
    """
    if row is None:
        return 0, ()
    try:
        marks = cattrs.structure(row.value["marks"], tuple[Mark, ...])
    except (KeyError, TypeError, cattrs.BaseValidationError):
        return row.version, ()
    return row.version, marks


def encode_marks(marks: tuple[Mark, ...]) -> dict[str, Any]:
    """Makes the value of the row."""
    return {"marks": [attrs.asdict(mark) for mark in marks]}
