"""The entry daemon `anvilfordd`: settings, listeners and event loop."""

from anvilford.daemon._main import core_options
from anvilford.daemon._main import main

__all__ = ["core_options", "main"]
