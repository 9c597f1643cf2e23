"""Parses log lines of entries that were captured in files."""

from anvilford.captured_logs._lines import parse_line
from anvilford.captured_logs._lines import read_lines

__all__ = ["parse_line", "read_lines"]
