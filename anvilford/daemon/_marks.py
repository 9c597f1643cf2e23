"""Encoding of operator marks as one row of the platform's table.

A mark records that an operator drained a target or resumed it.
"""

from typing import Any

import attrs
import cattrs

from anvilford.protocol import Mark
from anvilford.tables import Row

MARKS_ROW_KEY = "target-marks"


def parse_marks(row: Row | None) -> tuple[int, tuple[Mark, ...]]:
    """Decodes the table row that contains the operator marks.

    A malformed row counts as empty, so that the next write replaces it.

    Args:
        row: The row in the table; None if there is none.

    Returns:
        Version of the row (0 if there is none) and its marks.
    """
    if row is None:
        return 0, ()
    try:
        marks = cattrs.structure(row.value["marks"], tuple[Mark, ...])
    except (KeyError, TypeError, cattrs.BaseValidationError):
        return row.version, ()
    return row.version, marks


def encode_marks(marks: tuple[Mark, ...]) -> dict[str, Any]:
    """Encodes operator marks as the value of their table row."""
    return {"marks": [attrs.asdict(mark) for mark in marks]}
