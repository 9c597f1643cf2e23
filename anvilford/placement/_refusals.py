"""Decides whether a new job is admitted or refused.

Addresses overload: a job that would be late behind the work already admitted
is refused at once, while its caller can still use another service.
"""

from collections.abc import Sequence

import attrs

from anvilford.placement import _admission as admission
from anvilford.placement._fit import fits_now
from anvilford.placement._model import PlacementOptions
from anvilford.placement._state import Demand
from anvilford.placement._state import Job
from anvilford.placement._view import ServiceView

# Time reserved for the transfer of the answer to the caller.
ANSWER_MARGIN_S = 0.006


@attrs.frozen
class AdmissionCheck:
    """Decision about a new job, with its inputs.

    Attributes:
        is_admitted: Whether the job is admitted.
        reason: Reason of the refusal.
        wait: Expected seconds until its last task starts, with the delays of
            the leader.
        backlog: Demand of the waiting jobs of its service.
    """

    is_admitted: bool
    reason: str
    wait: float
    backlog: Demand


def check_admission(
    job: Job,
    waiting: Sequence[Job],
    view: ServiceView,
    event_delay: float,
    options: PlacementOptions,
    now: float,
) -> AdmissionCheck:
    """Decides whether a new job is admitted.

    It is if it would start in time behind the jobs with an earlier latest
    start, or if its tasks fit on free cores now and would be in time there.

    Args:
        job: The new job.
        waiting: Other waiting jobs of its service.
        view: Usable targets of the service.
        event_delay: Time by which the leader handles events late, in seconds.
        options: Parameters of the placer.
        now: Current time in seconds.
    """
    capacity = view.capacity
    forecast = admission.forecast_start(job, waiting, capacity, now)
    # One delay before the start, and one before the end is known.
    delay = 2 * event_delay
    wait = forecast.wait + delay
    latest = forecast.start_by - ANSWER_MARGIN_S
    is_admitted = now + wait <= latest
    # Without free cores, the targets need not be gone through.
    if not is_admitted and capacity.free > 0 and now + delay <= latest:
        is_admitted = fits_now(
            job,
            admission.jobs_ahead(forecast.start_by, waiting, capacity, now),
            view.targets,
            capacity.best_speed,
            delay + ANSWER_MARGIN_S,
            options,
            now,
        )
    reason = "overload" if view.targets else "no_target"
    return AdmissionCheck(is_admitted, reason, wait, forecast.backlog)
