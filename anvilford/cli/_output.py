"""Tables, JSON and progress lines."""

import json
import threading
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import TextIO

import attrs

# A line on a terminal is rewritten; in a log each line remains.
TERMINAL_PERIOD = 1.0
LOG_PERIOD = 5.0


@attrs.frozen
class CommandResult:
    """Result of a command.

    Attributes:
        value: JSON value for `--output json`.
        text: Text for `--output table`.
        exit_code: Exit code of the process.
    """

    value: Any
    text: str
    exit_code: int = 0


def format_table(
    columns: Mapping[str, str], rows: Sequence[Mapping[str, Any]]
) -> str:
    """Formats rows under aligned headers.

    Args:
        columns: Header by key of the rows, in order.
        rows: Values by key.

    Returns:
        One line per row below the header, without a final line break.
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
    """Formats one value of a table."""
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
    """Formats an age in milliseconds; None is shown as `absent`."""
    return absent if age_ms is None else f"{age_ms / 1000:.1f} s"


class Progress:
    """Context manager that reports on a command that takes over a second.

    Attributes:
        stream: Stream for the lines.
        message: What the command waits for; may be changed meanwhile.
        delay: Seconds before the first line.
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
        period = TERMINAL_PERIOD if terminal else LOG_PERIOD
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
