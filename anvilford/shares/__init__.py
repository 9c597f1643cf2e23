"""Share of one entry in the connections and slots of a target."""

from anvilford.shares._lending import LoadReporter
from anvilford.shares._lending import LoadReports
from anvilford.shares._shares import ConnectionSplit
from anvilford.shares._shares import slot_share

__all__ = ["ConnectionSplit", "LoadReporter", "LoadReports", "slot_share"]
