"""Event counters of a dispatcher."""

import attrs


@attrs.define
class DispatchCounters:
    """Event counts since the start of the dispatcher.

    The attributes are described in `DispatcherStats`, which repeats them.
    """

    started: int = 0
    not_started: int = 0
    retried: int = 0
    cancelled: int = 0
    refused: int = 0
    completed: int = 0
    failed: int = 0
    late_finishes: int = 0
