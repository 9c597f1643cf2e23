"""Metrics, traces and logs of one process."""

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
    # Importing OpenTelemetry takes 0.2 s, which would delay the restart of a
    # killed process. It is imported lazily, so that only the daemon that
    # records traces loads it.
    if name == "Tracing":
        from anvilford.telemetry._tracing import Tracing

        return Tracing
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
