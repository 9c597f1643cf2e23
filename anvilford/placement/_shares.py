"""Decides how the queues of a service share what cannot serve all of them.

Addresses bursts. By latest start alone, a queue with long tasks is refused most
often when all queues burst, and a queue that bursts alone takes from the others.
Here, a queue is measured by the part of its usual work that was admitted lately:
whichever falls behind the others finds a larger rate in the forecast of its
start, and whichever is ahead a smaller one. Work beyond the usual rate counts
for nothing, so that a bursting queue takes only what the others leave.
"""

import math

import attrs

# Time constant of the recent rates, in seconds: that of the windows by which
# users judge, and longer than most jobs take.
RECENT_S = 2.0
# Time constant of the usual rate, in seconds. A burst of 5 s at twice the rate
# raises it by a fifth.
USUAL_S = 25.0
# Factor on the usual rate up to which work is owed to a queue. Waves of the
# users' sites reach 1.55.
USUAL_MARGIN = 2.0
# Admitted part of the work of all queues above which none is short. With 0.98,
# waves that are refused little lost 0.008 of their worth on the model.
ENOUGH = 0.92
# Factor on the rate that serves queued jobs, for all queues while work is
# refused. On the model, 0.5 gave up to 0.02 more jobs in time than 1.
BASE_FACTOR = 0.5
# Least factor for the first priority, while its queue offers no more than is
# owed to it. 2 gave 0.004 more worth on the model, but with a leader short of
# processor time more jobs became late than were saved by refusals.
FIRST_FACTOR = 1.0
# Exponent that turns the ratio of admitted parts into a factor on the rate. An
# exponent of 4 gave no more on the model.
GAIN = 2.0
# Bounds of the factor by the admitted part.
PART_FACTOR_RANGE = (0.5, 3.0)
# Largest number of queues that are measured.
MAX_QUEUES = 64


@attrs.define
class _Meter:
    """Rates of one queue, in work per second, at the time of its last offer.

    Attributes:
        priority: Priority of the queue.
        updated_at: Time of the last offer.
        offered: Recent rate of the offered work.
        admitted: Recent rate of the admitted work.
        usual: Usual rate of the offered work, short by the part `unknown`.
        unknown: Part of the weight of `usual` that lies before the first offer.
    """

    priority: int
    updated_at: float
    offered: float = 0.0
    admitted: float = 0.0
    usual: float = 0.0
    unknown: float = 1.0

    def add(self, work: float, is_admitted: bool, now: float) -> None:
        """Adds an offer."""
        elapsed = max(now - self.updated_at, 0.0)
        recent = math.exp(-elapsed / RECENT_S)
        slow = math.exp(-elapsed / USUAL_S)
        self.offered = self.offered * recent + work / RECENT_S
        self.admitted = self.admitted * recent + (
            work / RECENT_S if is_admitted else 0.0
        )
        self.usual = self.usual * slow + work / USUAL_S
        self.unknown *= slow
        self.updated_at = now

    def rates(self, now: float) -> tuple[float, float, float]:
        """Returns the recent rates of owed, admitted and offered work."""
        recent = math.exp(-max(now - self.updated_at, 0.0) / RECENT_S)
        known = max(1.0 - self.unknown, 1e-3)
        owed = min(self.offered, USUAL_MARGIN * self.usual / known)
        return owed * recent, self.admitted * recent, self.offered * recent


class QueueShares:
    """Shares of the queues of one service."""

    def __init__(self):
        self._meters: dict[str, _Meter] = {}

    def record(
        self,
        queue: str,
        priority: int,
        work: float,
        is_admitted: bool,
        now: float,
    ) -> None:
        """Records an offered job.

        Args:
            queue: Name of its queue.
            priority: Priority of the queue.
            work: Its cores times estimated run time, in any unit.
            is_admitted: Whether it was admitted.
            now: Current time in seconds.
        """
        meter = self._meters.get(queue)
        if meter is None:
            if len(self._meters) >= MAX_QUEUES:
                del self._meters[
                    min(self._meters, key=lambda q: self._meters[q].updated_at)
                ]
            meter = self._meters[queue] = _Meter(priority, now)
        meter.priority = priority
        meter.add(work, is_admitted, now)

    def record_given_up(self, queue: str, work: float, now: float) -> None:
        """Records that an admitted job was given up before it started."""
        meter = self._meters.get(queue)
        if meter is not None:
            recent = math.exp(-max(now - meter.updated_at, 0.0) / RECENT_S)
            lost = work / RECENT_S / recent
            meter.admitted = max(meter.admitted - lost, 0.0)

    def factor(self, queue: str, now: float) -> float:
        """Returns the factor on the rate that serves jobs of a queue.

        Returns:
            1 while there is enough for all, for a queue that is not known, and
            where all queues that have offered jobs have the same priority.
        """
        meters = self._meters
        own = meters.get(queue)
        if own is None or len({m.priority for m in meters.values()}) < 2:
            return 1.0
        owed = admitted = offered = 0.0
        for meter in meters.values():
            meter_owed, meter_admitted, meter_offered = meter.rates(now)
            owed += meter_owed
            admitted += meter_admitted
            offered += meter_offered
        own_owed, own_admitted, own_offered = own.rates(now)
        if admitted >= ENOUGH * offered or own_owed <= 0:
            return 1.0
        ratio = (admitted / owed) / max(own_admitted / own_owed, 0.01)
        lowest, highest = PART_FACTOR_RANGE
        factor = BASE_FACTOR * min(max(ratio**GAIN, lowest), highest)
        if own.priority == min(m.priority for m in meters.values()) and (
            own_owed >= own_offered
        ):
            return max(factor, FIRST_FACTOR)
        return factor
