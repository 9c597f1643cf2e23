"""Counters, latencies, traces and logs."""

import typing

from anvilford.telemetry._counters import Counters
from anvilford.telemetry._logging import configure_logging
from anvilford.telemetry._output import LogRateLimiter
from anvilford.telemetry._output import NonBlockingOutput

if typing.TYPE_CHECKING:
    from anvilford.telemetry._tracing import Tracing

__all__ = [
    "Counters",
    "LogRateLimiter",
    "NonBlockingOutput",
    "Tracing",
    "configure_logging",
]


def __getattr__(name: str) -> typing.Any:
    # OpenTelemetry takes 0.2 s to import, which a process that was killed
    # needs for getting ready again; only the daemon with traces loads it.
    if name == "Tracing":
        from anvilford.telemetry._tracing import Tracing

        return Tracing
    raise AttributeError(name)
