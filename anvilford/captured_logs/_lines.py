"""Lines as entries write them, with what collectors put before them."""

import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any


def parse_line(text: str) -> dict[str, Any] | None:
    """Reads one line; text before the first brace is ignored.

    Returns:
        The fields, or None for a line that was cut or is of another program.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if isinstance(line, dict) and "message" in line and "time" in line:
        return line
    return None


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Reads all lines that entries wrote; leaves others out."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line
