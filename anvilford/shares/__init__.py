"""Shares of entries in the connections and slots of targets.

A slot lets one task run on a target. The slots of a target are divided among
the entries of its zone; entries lend the slots that they do not use.
"""

from anvilford.shares._lending import LoadReporter
from anvilford.shares._lending import LoadReports
from anvilford.shares._shares import ConnectionSplit
from anvilford.shares._shares import slot_share

__all__ = ["ConnectionSplit", "LoadReporter", "LoadReports", "slot_share"]
