"""Run times learned from finished attempts."""

import math

import attrs

# Declared run times may be wrong by a factor of ten either way, so they count
# only until this many runs were seen.
MIN_OBSERVATIONS = 5
DEFAULT_RUN_TIME = 0.3
# Operation names come from callers; the bound keeps the table small.
MAX_OPERATIONS = 4096
_MIN_SECONDS = 1e-4


@attrs.define
class RunTime:
    """Run time of one kind of task at a target of ordinary speed.

    Attributes:
        count: Observations so far.
        log_median: Natural logarithm of the tracked median, in seconds.
        mean: Moving average, in seconds.
    """

    count: int = 0
    log_median: float = math.log(DEFAULT_RUN_TIME)
    mean: float = DEFAULT_RUN_TIME

    def observe(self, seconds: float) -> None:
        """Adds one observation, already divided by the target's slowness."""
        value = math.log(max(seconds, _MIN_SECONDS))
        self.count += 1
        if self.count == 1:
            self.log_median = value
            self.mean = seconds
            return
        # Steps by sign follow the median, so that rare long runs do not move
        # it; they shrink from large to small to converge quickly.
        step = max(0.02, 0.7 / self.count)
        self.log_median += math.copysign(
            min(step, abs(value - self.log_median)), value - self.log_median
        )
        self.mean += (seconds - self.mean) * max(0.01, 1.0 / self.count)

    @property
    def median(self) -> float:
        """Median in seconds."""
        return math.exp(self.log_median)


@attrs.define
class _Slowness:
    count: int = 0
    log_factor: float = 0.0


class RunTimes:
    """Learned run times per operation and slowness per target."""

    def __init__(self):
        self.operations: dict[tuple[str, str], RunTime] = {}
        self.services: dict[str, RunTime] = {}
        self.targets: dict[str, _Slowness] = {}

    def estimate(
        self, service: str, operation: str, declared_ms: float | None
    ) -> float:
        """Returns the mean run time expected at ordinary speed, in seconds."""
        known = self.operations.get((service, operation))
        if known is not None and known.count >= MIN_OBSERVATIONS:
            return known.mean
        if declared_ms:
            return declared_ms / 1000
        if known is not None:
            return known.mean
        return DEFAULT_RUN_TIME

    def typical(self, service: str) -> float | None:
        """Returns the median run time of all tasks of a service, if known."""
        known = self.services.get(service)
        if known is None or known.count < MIN_OBSERVATIONS:
            return None
        return known.median

    def median(self, service: str, operation: str) -> float | None:
        """Returns the median run time of an operation, if learned."""
        known = self.operations.get((service, operation))
        if known is None or known.count < MIN_OBSERVATIONS:
            return None
        return known.median

    def is_long(self, service: str, operation: str, factor: float) -> bool:
        """Tells whether an operation usually runs `factor` times the median."""
        known = self.operations.get((service, operation))
        if known is None or known.count < MIN_OBSERVATIONS:
            return False
        typical = self.typical(service)
        return typical is not None and known.median >= factor * typical

    def slowness(self, target_id: str) -> float:
        """Returns run time at a target divided by the ordinary run time."""
        known = self.targets.get(target_id)
        return 1.0 if known is None else math.exp(known.log_factor)

    def observe(
        self, service: str, operation: str, target_id: str, seconds: float
    ) -> None:
        """Learns from one attempt that ran to its end."""
        target = self.targets.setdefault(target_id, _Slowness())
        kind = self._operation(service, operation)
        if kind.count >= MIN_OBSERVATIONS:
            error = (
                math.log(max(seconds, _MIN_SECONDS))
                - kind.log_median
                - target.log_factor
            )
            target.count += 1
            # The clip keeps a single long run from marking a target as slow.
            target.log_factor += max(-1.0, min(1.0, error)) * max(
                0.05, 1.0 / (target.count + 1)
            )
        ordinary = seconds / math.exp(target.log_factor)
        kind.observe(ordinary)
        self.services.setdefault(service, RunTime()).observe(ordinary)

    def forget_targets(self, keep: set[str]) -> None:
        """Drops what was learned about targets that no longer exist."""
        for target_id in self.targets.keys() - keep:
            del self.targets[target_id]

    def _operation(self, service: str, operation: str) -> RunTime:
        key = (service, operation)
        kind = self.operations.get(key)
        if kind is None:
            if len(self.operations) >= MAX_OPERATIONS:
                del self.operations[next(iter(self.operations))]
            kind = self.operations[key] = RunTime()
        return kind
