"""Routing: selects the queue for a caller's request, without any I/O."""

from anvilford.routing._table import RequestLimits
from anvilford.routing._table import Route
from anvilford.routing._table import RoutingTable

__all__ = ["RequestLimits", "Route", "RoutingTable"]
