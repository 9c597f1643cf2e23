"""Retry budget: bounds retries to a fraction of task starts."""

import attrs


@attrs.define
class RetryBudget:
    """Token bucket filled by task starts.

    Attributes:
        ratio: Retries earned per start.
        capacity: Most retries that can be saved up.
        tokens: Retries available now.
    """

    ratio: float
    capacity: float = 10.0
    tokens: float = 0.0

    def record_start(self) -> None:
        """Earns a fraction of a retry."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Takes one retry; returns whether there was one."""
        # The margin keeps ten starts at a ratio of 0.1 worth a whole retry
        # despite rounding.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True
