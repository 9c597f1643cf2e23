"""Weighted samples of run times, and the slowdown of a kind by another.

The slope of the deviation from the expected run time over the share of the time
that another kind ran beside is the logarithm of the slowdown by that kind.
"""

import math

import attrs

# Name of the queue and index of the step of a task.
Kind = tuple[str, int]

# Samples are kept in groups of targets, so that estimates without one group show
# what a single target contributes.
TARGET_GROUPS = 8
# Weight of a job in the averages of its kind. Within 25 jobs the averages
# follow what slows down all targets, such as a leader that reads ends late.
KIND_WEIGHT = 0.04
# Weight of the estimate's error in the correction of estimates.
ESTIMATE_WEIGHT = 0.01
# Variance of the logarithm of the estimates of a kind before the first ones, and
# the smallest one that the correction of estimates assumes.
INITIAL_ESTIMATE_VARIANCE = 0.1
MIN_ESTIMATE_VARIANCE = 0.02
# Smallest variance of the share beside a kind from which a slowdown follows, and
# smallest variance of the deviation.
MIN_SHARE_VARIANCE = 1e-6
MIN_DEVIATION_VARIANCE = 0.01
# Slowdown that a pair must exceed to become known. A smaller one costs less
# than a target that is slower by a step of the targets' speeds.
KNOWN_RATIO = 1.25
# Number of standard errors by which the slowdown must exceed `KNOWN_RATIO`.
KNOWN_ERRORS = 2.0
# Weight of the runs beside the other kind that a pair needs to become known.
KNOWN_RUNS = 40.0
# Smallest number of groups with samples beside the other kind.
MIN_GROUPS = 3


@attrs.define(eq=False)
class KindSums:
    """Weighted sums over the samples of a kind; e is the deviation."""

    n: float = 0.0
    e: float = 0.0
    ee: float = 0.0

    def add(self, deviation: float) -> None:
        """Adds a sample."""
        self.n += 1.0
        self.e += deviation
        self.ee += deviation**2


@attrs.define(eq=False)
class PairSums:
    """Weighted sums over the samples beside another kind, with the share x.

    `xy` is that of x times the deviation including the known effect, and
    `effect` the sum of these effects.
    """

    x: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    effect: float = 0.0

    def add(self, share: float, deviation: float, effect: float) -> None:
        """Adds a sample.

        Args:
            share: Share of the run's time beside the other kind.
            deviation: Deviation of the run time without the known effects.
            effect: Known effect of the other kind.
        """
        self.x += share
        self.xx += share**2
        self.xy += share * (deviation + effect)
        self.effect += effect


@attrs.define(eq=False)
class PairSamples:
    """Samples of a kind beside another one.

    Attributes:
        groups: Sums by group of targets.
        seen_at: Time of the last sample, in seconds.
        log_ratio: Logarithm of the slowdown; 0 while the pair is not known.
        known_at: Time at which the pair became known.
    """

    groups: list[PairSums] = attrs.field(
        factory=lambda: [PairSums() for _ in range(TARGET_GROUPS)]
    )
    seen_at: float = 0.0
    log_ratio: float = 0.0
    known_at: float = 0.0

    def mean_share(self, kind: "KindSamples") -> float:
        """Returns the mean share beside the other kind over all samples."""
        n = sum(sums.n for sums in kind.groups)
        return sum(sums.x for sums in self.groups) / n if n else 0.0


@attrs.define(eq=False)
class KindSamples:
    """Samples of a kind, and the expected run time for an estimate.

    Attributes:
        groups: Sums by group of targets.
        pairs: Samples beside other kinds, by kind.
        jobs: Weight of all jobs so far.
        seen_at: Time of the last sample, in seconds.
        samples_left: Number of further samples until the next evaluation.
        has_known_pair: Whether another kind is known to slow it down.
        base: Mean deviation of the logarithm of the run time from that of the
            estimate.
        slope: Further deviation by the logarithm of the estimate: the longest
            estimates are mostly too long.
        mean_estimate: Mean of the logarithm of the estimates.
        estimate_variance: Variance of that logarithm.
    """

    groups: list[KindSums] = attrs.field(
        factory=lambda: [KindSums() for _ in range(TARGET_GROUPS)]
    )
    pairs: dict[Kind, PairSamples] = attrs.field(factory=dict)
    jobs: float = 0.0
    seen_at: float = 0.0
    samples_left: int = 0
    has_known_pair: bool = False
    base: float = 0.0
    slope: float = 0.0
    mean_estimate: float = 0.0
    estimate_variance: float = INITIAL_ESTIMATE_VARIANCE

    def expected(self, estimate: float) -> float:
        """Returns the logarithm of the run time for that of an estimate."""
        return (
            estimate + self.base + self.slope * (estimate - self.mean_estimate)
        )

    def learn(self, estimate: float, deviation: float, weight: float) -> None:
        """Moves the expected run time towards that of a sample."""
        self.jobs += weight
        rate = max(KIND_WEIGHT, 1 / (1 + self.jobs)) * weight
        distance = estimate - self.mean_estimate
        if self.jobs <= weight:
            self.mean_estimate, distance = estimate, 0.0
        self.base += rate * deviation
        spread = self.estimate_variance + MIN_ESTIMATE_VARIANCE
        step = ESTIMATE_WEIGHT * weight * deviation * distance / spread
        self.slope = min(max(self.slope + step, -1.0), 1.0)
        self.mean_estimate += KIND_WEIGHT * weight * distance
        self.base += self.slope * KIND_WEIGHT * weight * distance
        self.estimate_variance += (
            KIND_WEIGHT * weight * (distance**2 - self.estimate_variance)
        )

    def shift(self, amount: float) -> None:
        """Lowers the expected run time, as if it had been so all along."""
        self.base -= amount
        for sums in self.groups:
            sums.ee += 2 * amount * sums.e + amount**2 * sums.n
            sums.e += amount * sums.n
        for pair in self.pairs.values():
            for pair_sums in pair.groups:
                pair_sums.xy += amount * pair_sums.x

    def age(self, factor: float) -> None:
        """Reduces the weight of all samples."""
        for sums in self.groups:
            sums.n *= factor
            sums.e *= factor
            sums.ee *= factor
        for pair in self.pairs.values():
            for pair_sums in pair.groups:
                pair_sums.x *= factor
                pair_sums.xx *= factor
                pair_sums.xy *= factor
                pair_sums.effect *= factor


@attrs.frozen
class Slowdown:
    """Estimate of the slowdown of a kind by another one.

    Attributes:
        log_ratio: Logarithm of the ratio of run times beside and apart from
            the other kind.
        error: Standard error of `log_ratio`.
        runs: Weight of the recent runs beside the other kind.
    """

    log_ratio: float
    error: float
    runs: float


def estimate_slowdown(
    kind: KindSamples, pair: PairSamples, without: int | None = None
) -> Slowdown:
    """Estimates a slowdown from all groups of targets, or all but one."""
    n = e = ee = x = xx = xy = effect = 0.0
    for number in range(TARGET_GROUPS):
        if number == without:
            continue
        sums, pair_sums = kind.groups[number], pair.groups[number]
        n += sums.n
        e += sums.e
        ee += sums.ee
        x += pair_sums.x
        xx += pair_sums.xx
        xy += pair_sums.xy
        effect += pair_sums.effect
    if n < 1.0:
        return Slowdown(0.0, math.inf, x)
    spread = xx / n - (x / n) ** 2
    if spread < MIN_SHARE_VARIANCE:
        return Slowdown(0.0, math.inf, x)
    slope = (xy / n - x / n * (e + effect) / n) / spread
    variance = max(ee / n - (e / n) ** 2, MIN_DEVIATION_VARIANCE)
    return Slowdown(slope, math.sqrt(variance / (n * spread)), x)


def shows_slowdown(
    kind: KindSamples, pair: PairSamples, slowdown: Slowdown
) -> bool:
    """Returns whether the samples of a pair show a slowdown.

    They have to show it without each group of targets too.
    """
    threshold = math.log(KNOWN_RATIO)
    if (
        slowdown.runs < KNOWN_RUNS
        or slowdown.log_ratio - KNOWN_ERRORS * slowdown.error < threshold
        or sum(1 for sums in pair.groups if sums.x > 0) < MIN_GROUPS
    ):
        return False
    return all(
        estimate_slowdown(kind, pair, without=group).log_ratio > threshold
        for group in range(TARGET_GROUPS)
    )
