"""Share of one entry in the connections and slots of a target."""

from anvilford.shares._shares import ConnectionSplit
from anvilford.shares._shares import slot_share

__all__ = ["ConnectionSplit", "slot_share"]
