"""Retry budget, which limits retries to a fraction of started attempts."""

import attrs


@attrs.define
class RetryBudget:
    """Token bucket that is filled by started attempts.

    Attributes:
        ratio: Tokens added per started attempt; a retry costs one token.
        capacity: Maximum number of tokens.
        tokens: Tokens available now.
    """

    ratio: float
    capacity: float = 10.0
    tokens: float = 0.0

    def record_start(self) -> None:
        """Adds the tokens for a started attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Removes one token for a retry; returns False if there is none."""
        # The tolerance allows for rounding errors: ten starts at a ratio of 0.1
        # must permit one retry.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True
