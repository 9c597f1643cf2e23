"""`anvilctl`, the command-line tool for operators and callers."""

from anvilford.cli._context import Context
from anvilford.cli._context import ExitCode
from anvilford.cli._main import main
from anvilford.cli._main import run

__all__ = ["Context", "ExitCode", "main", "run"]
