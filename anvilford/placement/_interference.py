"""Detection of kinds of tasks that slow each other down on the same target.

Load that it addresses: several queues share the targets, and two of them
compete for something that is not accounted for, such as memory bandwidth.

Each completed run is one sample: the logarithm of its run time, and the share
of that time during which each kind ran beside it. The expected run time is
that of the kind for such an estimate, on such a target. The slope of what
remains over the share is the logarithm of the slowdown by that kind. The share
of a run, unlike the chance of an overlap, does not grow with its length, so
that a task which takes long by itself does not count as slowed down.
"""

import math
import zlib
from collections.abc import Iterator
from typing import Any

from anvilford.placement._model import PlacementOptions
from anvilford.placement._orders import Decision
from anvilford.placement._run_samples import estimate_slowdown
from anvilford.placement._run_samples import Kind
from anvilford.placement._run_samples import KindSamples
from anvilford.placement._run_samples import PairSamples
from anvilford.placement._run_samples import shows_slowdown
from anvilford.placement._run_samples import Slowdown
from anvilford.placement._run_samples import TARGET_GROUPS
from anvilford.placement._state import Run
from anvilford.placement._state import Target
from anvilford.placement._state import Task

# Interval between two evaluations of the samples, which also age then. An
# evaluation of 64 pairs takes less than a millisecond.
EVALUATION_INTERVAL_S = 0.5
# Maximum number of samples of a kind in that interval. A sample takes about
# 15 microseconds: at the 1,500 runs a second of the largest site, 0.7% of a core
# instead of 2%. 200 samples a second show a slowdown by 2 within some seconds.
MAX_SAMPLES = 100
# Time in which the weight of a sample falls to 1/e. A queue with 20 jobs a
# second gives 300 jobs in it, enough for a slowdown by 1.5; a kind that changes
# its nature is known again after about the same time.
MEMORY_S = 15.0
# Slowdown below which a known pair is forgotten.
FORGOTTEN_RATIO = 1.1
# Weight of the runs beside the other kind below which a pair is forgotten. A
# pair that is kept apart gives no samples, so that it is forgotten after 2.5
# times `MEMORY_S` or later, and is then tried again.
FORGOTTEN_RUNS = 3.0
# Number of runs of a job that show half of the error of its estimate: ratio of
# the variances of tasks of a job, with 3% long ones, and of its estimate.
JOB_PRIOR_RUNS = 0.65
# Weight of the jobs of a kind before its samples count for pairs.
WARM_UP_JOBS = 20.0
# Clip of the logarithm of actual to expected run time: 3% of the tasks run
# seven times longer than the rest.
MAX_DEVIATION = 1.0
# Weight of a run in the run time offset of its target.
TARGET_WEIGHT = 0.03
# Number of runs that the placer's speed of a target counts as, at first.
SPEED_PRIOR_RUNS = 1
# Number of runs of a target before its samples count for pairs. Runs last longer
# on a slow target and overlap more: until its speed is known, that looks like a
# slowdown.
MIN_TARGET_RUNS = 6
# Bounds of the memory; the sites have up to 12 queues of a few steps.
MAX_KINDS = 24
MAX_PAIRS = 64
# Kinds and pairs that were seen within this time are not evicted, so that more
# of them than fit do not displace each other.
EVICTION_AGE_S = 10.0
# Shortest run time, below which the time of the messages prevails.
MIN_RUN_S = 0.002


def kind_of(task: Task) -> Kind:
    """Returns the kind of a task."""
    return (task.job.policy.name, task.step)


def kind_name(kind: Kind) -> str:
    """Returns the name of a kind in logs and status, as "queue/step"."""
    return f"{kind[0]}/{kind[1]}"


class InterferenceMonitor:
    """Learns which kinds of tasks slow each other down on the same target.

    Performs no I/O and reads no clock.

    Attributes:
        enabled: Whether anything is learned.
        options: Parameters of the placer.
        kinds: Samples by kind.
        partners: For each kind of a known pair, the kinds that should not run
            beside it, with the product of the slowdowns of both. Empty until a
            pair is known.
    """

    def __init__(self, options: PlacementOptions, now: float):
        self.enabled = options.separate_interfering_tasks
        self.options = options
        self.kinds: dict[Kind, KindSamples] = {}
        self.partners: dict[Kind, dict[Kind, float]] = {}
        self._pair_count = 0
        self._evaluated_at = now

    def concerns(self, task: Task) -> bool:
        """Returns whether the kind of a task belongs to a known pair."""
        return bool(self.partners) and kind_of(task) in self.partners

    def penalty(self, task: Task, target: Target) -> float:
        """Returns by how much a task and the runs of a target slow down.

        Returns:
            Product of the slowdowns of the task and of the runs of known
            pairs; 1 if there is none.
        """
        partners = self.partners.get(kind_of(task))
        if not partners:
            return 1.0
        penalty = 1.0
        for run in target.runs.values():
            if run.task is not None:
                penalty *= partners.get(kind_of(run.task), 1.0)
        return penalty

    def record_end(self, target: Target, run: Run, now: float) -> None:
        """Adds the time of an ended run to the runs that continue beside it.

        Args:
            target: Target of the run, which it has left.
            run: The run; it may have ended in any way.
            now: Current time in seconds.
        """
        if not self.enabled or run.task is None or not run.confirmed_at:
            return
        kind = kind_of(run.task)
        for other in target.runs.values():
            if other.confirmed_at:
                since = max(run.confirmed_at, other.confirmed_at)
                other.beside[kind] = other.beside.get(kind, 0.0) + now - since

    def record_success(self, target: Target, run: Run, now: float) -> float:
        """Records a run that completes now.

        Args:
            target: Target of the run, which still has it.
            run: The completed run.
            now: Current time in seconds.

        Returns:
            Factor by which known pairs have slowed down the run.
        """
        if not self.enabled or run.task is None or not run.confirmed_at:
            return 1.0
        # The start of a run that was found on the target is not known.
        if run.ordered_at >= run.confirmed_at or run.is_carried_over:
            return 1.0
        task = run.task
        kind = kind_of(task)
        state = self._find_kind(kind, now)
        if state is None or task.spec.estimate_ms <= 0 or target.record.cold_ms:
            return 1.0
        is_sample = state.samples_left > 0
        if not is_sample and not state.has_known_pair:
            return 1.0
        seconds = max(now - run.confirmed_at, MIN_RUN_S)
        shares = self._shares(target, run, seconds, now)
        effect = 0.0
        for other, share in shares.items():
            pair = state.pairs.get(other)
            if pair is not None and pair.log_ratio:
                effect += share * pair.log_ratio
        if is_sample:
            state.samples_left -= 1
            self._add_sample(state, task, target, seconds, shares, effect, now)
        return math.exp(effect)

    def _shares(
        self, target: Target, run: Run, seconds: float, now: float
    ) -> dict[Kind, float]:
        """Returns the share of a run's time beside each kind."""
        overlaps = run.beside
        for other in target.runs.values():
            if other is run or other.task is None or not other.confirmed_at:
                continue
            kind = kind_of(other.task)
            since = max(run.confirmed_at, other.confirmed_at)
            overlaps[kind] = overlaps.get(kind, 0.0) + now - since
        return {k: min(s / seconds, 1.0) for k, s in overlaps.items()}

    def _add_sample(
        self,
        state: KindSamples,
        task: Task,
        target: Target,
        seconds: float,
        shares: dict[Kind, float],
        effect: float,
        now: float,
    ) -> None:
        """Adds a sample to its kind, its pairs and its target.

        The tasks of a step share the error of its estimate. For the expected
        run time they count as one job together; for the pairs, the error that
        earlier runs of the step have shown is left out.
        """
        is_warm = (
            state.jobs >= WARM_UP_JOBS
            and target.run_time_samples >= MIN_TARGET_RUNS
        )
        deviation = self._learn_run_time(state, task, target, seconds, effect)
        if not is_warm:
            return
        deviations = task.job.deviations
        runs, total = deviations.get(task.step, (0, 0.0))
        rest = deviation - total / (runs + JOB_PRIOR_RUNS)
        deviations[task.step] = (runs + 1, total + deviation)
        group = zlib.crc32(target.record.target_id.encode()) % TARGET_GROUPS
        state.groups[group].add(rest)
        for other, share in shares.items():
            pair = self._find_pair(state, other, now)
            if pair is not None:
                pair.groups[group].add(share, rest, share * pair.log_ratio)

    def _learn_run_time(
        self,
        state: KindSamples,
        task: Task,
        target: Target,
        seconds: float,
        effect: float,
    ) -> float:
        """Updates the expected run time of a kind and of a target.

        Args:
            state: Samples of the kind.
            task: The task that ran.
            target: The target.
            seconds: Run time.
            effect: Logarithm of the slowdown by known pairs.

        Returns:
            Deviation of the logarithm of the run time from the expected one.
        """
        step = task.spec
        estimate = step.estimate_ms / 1000
        if step.rack and step.rack not in target.record.labels:
            estimate *= self.options.remote_penalty
        if target.run_time_offset is None:
            target.run_time_offset = -math.log(target.speed)
        expected = state.expected(math.log(estimate)) + target.run_time_offset
        deviation = math.log(seconds) - expected - effect
        deviation = min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)
        state.learn(math.log(estimate), deviation, 1 / step.count)
        target.run_time_samples += 1
        target.run_time_offset += deviation * max(
            TARGET_WEIGHT, 1 / (SPEED_PRIOR_RUNS + target.run_time_samples)
        )
        return deviation

    def _find_kind(self, kind: Kind, now: float) -> KindSamples | None:
        """Returns the samples of a kind; None if there is no room for it."""
        state = self.kinds.get(kind)
        if state is None:
            if len(self.kinds) >= MAX_KINDS:
                return None
            state = self.kinds[kind] = KindSamples(samples_left=MAX_SAMPLES)
        state.seen_at = now
        return state

    def _find_pair(
        self, state: KindSamples, other: Kind, now: float
    ) -> PairSamples | None:
        """Returns the samples of a pair; None if there is no room for it."""
        pair = state.pairs.get(other)
        if pair is None:
            if self._pair_count >= MAX_PAIRS:
                return None
            self._pair_count += 1
            pair = state.pairs[other] = PairSamples()
        pair.seen_at = now
        return pair

    def evaluate(self, now: float) -> list[Decision]:
        """Ages the samples and updates the known pairs, if that is due.

        Args:
            now: Current time in seconds.

        Returns:
            One decision for each pair that became known or is forgotten.
        """
        elapsed = now - self._evaluated_at
        if not self.enabled or elapsed < EVALUATION_INTERVAL_S:
            return []
        factor = math.exp(-elapsed / MEMORY_S)
        self._evaluated_at = now
        decisions = []
        for kind, state in self.kinds.items():
            state.age(factor)
            state.samples_left = MAX_SAMPLES
            for other, pair in state.pairs.items():
                change = self._update_pair(state, pair, now)
                if change is not None:
                    decisions.append(_pair_decision(kind, other, change))
        decisions += self._evict(now)
        if decisions or self.partners:
            self._update_partners()
        return decisions

    def _update_pair(
        self, state: KindSamples, pair: PairSamples, now: float
    ) -> dict[str, object] | None:
        """Updates whether a pair is known; returns the change for the log."""
        slowdown = estimate_slowdown(state, pair)
        if not pair.log_ratio:
            if not shows_slowdown(state, pair, slowdown):
                return None
            pair.log_ratio, pair.known_at = slowdown.log_ratio, now
            # Until now, the average included the slowdown.
            state.shift(pair.log_ratio * pair.mean_share(state))
            return {"event": "known", **_describe_slowdown(slowdown)}
        reason = ""
        if slowdown.runs < FORGOTTEN_RUNS:
            reason = "old"
        elif slowdown.log_ratio < math.log(FORGOTTEN_RATIO):
            reason = "not_confirmed"
        if not reason:
            pair.log_ratio = slowdown.log_ratio
            return None
        state.shift(-pair.log_ratio * pair.mean_share(state))
        pair.log_ratio = 0.0
        return {
            "event": "forgotten",
            "reason": reason,
            "known_ms": int((now - pair.known_at) * 1000),
            **_describe_slowdown(slowdown),
        }

    def _evict(self, now: float) -> list[Decision]:
        """Drops the kind and the pair seen least recently if there is no room."""
        decisions = []
        if self._pair_count >= MAX_PAIRS:
            kind, other = min(
                (
                    (k, o)
                    for k, state in self.kinds.items()
                    for o in state.pairs
                ),
                key=lambda key: self.kinds[key[0]].pairs[key[1]].seen_at,
            )
            if now - self.kinds[kind].pairs[other].seen_at > EVICTION_AGE_S:
                decisions += self._drop_pair(kind, other, now)
        if len(self.kinds) >= MAX_KINDS:
            kind = min(self.kinds, key=lambda key: self.kinds[key].seen_at)
            if now - self.kinds[kind].seen_at > EVICTION_AGE_S:
                for other in list(self.kinds[kind].pairs):
                    decisions += self._drop_pair(kind, other, now)
                del self.kinds[kind]
        return decisions

    def _drop_pair(self, kind: Kind, other: Kind, now: float) -> list[Decision]:
        pair = self.kinds[kind].pairs.pop(other)
        self._pair_count -= 1
        if not pair.log_ratio:
            return []
        change = {
            "event": "forgotten",
            "reason": "evicted",
            "known_ms": int((now - pair.known_at) * 1000),
        }
        return [_pair_decision(kind, other, change)]

    def _update_partners(self) -> None:
        """Sets the partners from the known pairs.

        Two runs of a kind that slows itself down are both slowed down.
        """
        self.partners = {}
        for state in self.kinds.values():
            state.has_known_pair = any(
                pair.log_ratio for pair in state.pairs.values()
            )
        for kind, other, pair in self.known_pairs():
            for one, two in ((kind, other), (other, kind)):
                ratios = self.partners.setdefault(one, {})
                ratio = math.exp(pair.log_ratio)
                ratios[two] = ratios.get(two, 1.0) * ratio

    def known_pairs(self) -> Iterator[tuple[Kind, Kind, PairSamples]]:
        """Yields each kind that is slowed down, by which kind, and the pair."""
        for kind, state in self.kinds.items():
            for other, pair in state.pairs.items():
                if pair.log_ratio:
                    yield kind, other, pair

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Returns the known pairs, for the status of the leader."""
        return [
            {
                "kind": kind_name(kind),
                "slowed_by": kind_name(other),
                "ratio": round(math.exp(pair.log_ratio), 2),
                "known_ms": int((now - pair.known_at) * 1000),
            }
            for kind, other, pair in self.known_pairs()
        ]


def _describe_slowdown(slowdown: Slowdown) -> dict[str, object]:
    return {
        "ratio": round(math.exp(slowdown.log_ratio), 2),
        "error": round(slowdown.error, 2),
        "runs": round(slowdown.runs, 1),
    }


def _pair_decision(
    kind: Kind, other: Kind, change: dict[str, object]
) -> Decision:
    """Returns the log line of a pair that became known or is forgotten."""
    fields = dict(change)
    return Decision(
        f"interference {fields.pop('event')}",
        "",
        {"kind": kind_name(kind), "slowed_by": kind_name(other), **fields},
    )
