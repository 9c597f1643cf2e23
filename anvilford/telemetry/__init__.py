"""Counters, latencies, traces and logs."""

from anvilford.telemetry._counters import Counters
from anvilford.telemetry._logging import configure_logging
from anvilford.telemetry._tracing import Tracing

__all__ = ["Counters", "Tracing", "configure_logging"]
