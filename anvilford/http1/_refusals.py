"""Counts and logs requests that are refused at a limit."""

import logging
import time
import typing

# One line per reason in this time, in seconds. A crowd of clients causes thousands
# of refusals a second.
LOG_INTERVAL_S = 10.0

_logger = logging.getLogger(__name__)


class CounterSink(typing.Protocol):
    """The method of `telemetry.Counters` that this package calls."""

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds `amount` to the counter with this name and these labels."""


class RefusalReport:
    """Counts refusals by reason and logs them at a limited rate.

    Attributes:
        counters: Receives the counts; None counts nothing.
    """

    def __init__(self, counters: CounterSink | None = None):
        self.counters = counters
        self._logged_at: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, reason: str) -> None:
        """Records one connection that was refused or closed."""
        if self.counters is not None:
            self.counters.increment("connections_refused", reason=reason)
        now = time.monotonic()
        count = self._unlogged.get(reason, 0) + 1
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._unlogged[reason] = count
            return
        self._logged_at[reason] = now
        self._unlogged[reason] = 0
        _logger.warning(
            "connection refused at a limit",
            extra={"reason": reason, "count": count},
        )
