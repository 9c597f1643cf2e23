"""Formats results as tables and reports the progress of a command."""

import json
import threading
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import TextIO

import attrs

# Periods between progress lines. On a terminal, a line replaces the previous
# one; in a log all lines remain, so they are written less often.
TERMINAL_PERIOD_S = 1.0
LOG_PERIOD_S = 5.0


@attrs.frozen
class CommandResult:
    """Result of a command.

    Attributes:
        value: JSON value, written for `--output json`.
        text: Text, written for `--output table`.
        exit_code: Exit code of the process, a value of `ExitCode`.
    """

    value: Any
    text: str
    exit_code: int = 0


def format_table(
    columns: Mapping[str, str], rows: Sequence[Mapping[str, Any]]
) -> str:
    """Formats rows as a table with aligned columns.

    Args:
        columns: Header of each column by the key of its values in the rows, in
            the order of the columns.
        rows: Values of each row by key; further keys are ignored.

    Returns:
        The header and one line per row, without a final line break.
    """
    cells = [list(columns.values())]
    cells += [[format_cell(row[key]) for key in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def format_cell(value: Any) -> str:
    """Formats one value of a table, as "-", "yes", "no", text or JSON."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case str():
            return value
        case float():
            return f"{value:.1f}"
    return json.dumps(value)


def format_age(age_ms: float | None, absent: str = "never") -> str:
    """Formats an age in seconds.

    Args:
        age_ms: Age in milliseconds, or None if there is none.
        absent: Text that stands for None.
    """
    return absent if age_ms is None else f"{age_ms / 1000:.1f} s"


class Progress:
    """Context manager that writes progress lines while a command waits.

    A background thread writes the first line after `delay` seconds, so a fast
    command writes none.

    Attributes:
        stream: Stream for the lines.
        message: What the command waits for; the command may change it while it
            runs, and the next line shows the new text.
        delay: Time before the first line, in seconds.
    """

    def __init__(self, stream: TextIO, message: str, delay: float = 1.0):
        self.stream = stream
        self.message = message
        self.delay = delay
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Progress":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._done.set()
        self._thread.join()

    def _run(self) -> None:
        terminal = self.stream.isatty()
        period = TERMINAL_PERIOD_S if terminal else LOG_PERIOD_S
        elapsed = wait = self.delay
        shown = False
        while not self._done.wait(wait):
            line = f"anvilctl: {self.message} ({elapsed:.0f} s)"
            self.stream.write(f"\r{line}\x1b[K" if terminal else f"{line}\n")
            self.stream.flush()
            shown = True
            wait = period
            elapsed += period
        if shown and terminal:
            self.stream.write("\r\x1b[K")
            self.stream.flush()
