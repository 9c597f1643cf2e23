"""Counters of the dispatcher."""

import attrs


@attrs.define
class DispatchCounters:
    """Totals since the start; see `DispatcherStats` for their meaning."""

    started: int = 0
    not_started: int = 0
    retried: int = 0
    cancelled: int = 0
    refused: int = 0
    completed: int = 0
    failed: int = 0
    late_finishes: int = 0
