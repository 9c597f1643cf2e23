"""Decides whether a new job is admitted or refused.

Addresses overload: a job that would be late behind the work already admitted
is refused at once, while its caller can still use another service.
"""

from collections.abc import Sequence

import attrs

from anvilford.placement import _admission as admission
from anvilford.placement._choice import AMPLE_FREE_SHARE
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
        wait: Expected seconds until its last task starts, with the delays of
            the leader.
        backlog: Demand of the waiting jobs of its service.
    """

    is_admitted: bool
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

    It is if it would start in time behind the jobs with an earlier latest start,
    if its tasks fit on free cores now and would be in time there, or if it will
    be late but most cores are free.

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
    if not is_admitted:
        is_admitted = has_room_for_late_job(
            job, forecast.backlog, view, delay, now
        )
    return AdmissionCheck(is_admitted, wait, forecast.backlog)


def has_room_for_late_job(
    job: Job, backlog: Demand, view: ServiceView, delay: float, now: float
) -> bool:
    """Returns whether a job that will be late has room that nobody else needs.

    Load: jobs that waited for a leader after a cut or a loss of power arrive
    together, when the targets are idle. A late answer has a part of its value, and
    a refusal has none. Jobs that can be in time keep `AMPLE_FREE_SHARE` of the
    cores to themselves, and go first.

    Args:
        job: The new job.
        backlog: Demand of the waiting jobs of its service.
        view: Usable targets of the service. Their free cores are summed anew, as
            hundreds of jobs may start while the view is kept.
        delay: Time until its tasks start, in seconds.
        now: Current time in seconds.
    """
    capacity = view.capacity
    if capacity.free_share <= AMPLE_FREE_SHARE:
        return False
    run_time = job.demand.longest / (capacity.best_speed or 1.0)
    if now + delay + run_time > job.value_deadline - ANSWER_MARGIN_S:
        return False
    free = sum(target.available.cpu_millis for target in view.targets)
    left = free - backlog.cpu - job.demand.cpu
    return left > AMPLE_FREE_SHARE * capacity.cores


def is_too_late(
    job: Job, earliest_start: float, capacity: admission.Capacity, now: float
) -> bool:
    """Returns whether a waiting job without a start is given up.

    It is once it cannot meet its objective or, after `MAX_REFUSAL_DELAY_SHARE`
    of the objective, once its answer would have no value.

    Args:
        job: The job.
        earliest_start: Lower bound on its start, in seconds.
        capacity: Capacity of its service.
        now: Current time in seconds.
    """
    may_still_refuse = (
        now - job.arrived_at
        <= admission.MAX_REFUSAL_DELAY_SHARE * job.objective
    )
    run_time = job.demand.longest / (capacity.best_speed or 1.0)
    limit = job.objective_deadline if may_still_refuse else job.value_deadline
    return earliest_start + run_time > limit
