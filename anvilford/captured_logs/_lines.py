"""Parses JSON log lines of entries, with or without a collector's prefix."""

import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any


def parse_line(text: str) -> dict[str, Any] | None:
    """Parses one captured log line.

    Args:
        text: Line as captured. Text before the first brace, such as the prefix
            of a log collector, is ignored.

    Returns:
        Fields of the line, or None if it is not a line of an entry: it was
        truncated, or it has no `message` or no `time`.
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
    """Yields the fields of all lines written by entries; skips other lines.

    Args:
        texts: Lines as captured.
    """
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line
