"""Selects the queue of a caller's request; decisions only, no I/O."""

from anvilford.routing._table import RequestLimits
from anvilford.routing._table import Route
from anvilford.routing._table import RoutingTable

__all__ = ["RequestLimits", "Route", "RoutingTable"]
