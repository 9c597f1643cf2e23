"""Fields of the log lines about started tasks."""

from anvilford.placement._fleet import Fleet
from anvilford.placement._state import Job
from anvilford.placement._state import Target
from anvilford.placement._state import Task


def describe_job_start(
    job: Job, task: Task, target: Target, fleet: Fleet, now: float
) -> dict[str, object]:
    """Returns the fields of the line about the first start of a job."""
    return {
        "run": task.run,
        "fence": fleet.fence,
        "queue": job.policy.name,
        "target": target.record.target_id,
        "target_speed": round(target.speed, 2),
        "target_version": target.record.version,
        "contact_age_ms": int((now - target.last_contact_at) * 1000),
        "waited_ms": int((now - job.arrived_at) * 1000),
        "objective_ms": int(job.objective * 1000),
        "tasks": len(job.tasks),
        "again": bool(job.unseen_runs_until),
        "placed_elsewhere": job.placed_elsewhere,
        **_describe_cold_time(target, now),
        **_describe_unseen_runs(job, fleet, now),
    }


def describe_repeated_start(
    task: Task, target: Target, fleet: Fleet, now: float
) -> dict[str, object]:
    """Returns the fields of the line about a task that has run before.

    With the line `task starts again`, it names both runs if they overlap.
    """
    return {
        "task": task.key,
        "run": task.run,
        "fence": fleet.fence,
        "target": target.record.target_id,
        "zone": target.record.zone,
        "entries": sorted(task.job.entries),
        **_describe_unseen_runs(task.job, fleet, now),
    }


def _describe_cold_time(target: Target, now: float) -> dict[str, object]:
    """Returns how long the target still is cold, if it is."""
    if target.cold_until <= now:
        return {}
    return {"target_cold_ms": int((target.cold_until - now) * 1000)}


def _describe_unseen_runs(
    job: Job, fleet: Fleet, now: float
) -> dict[str, object]:
    """Returns why a job that may run elsewhere starts."""
    if not job.unseen_runs_until:
        return {}
    unseen_ms = int(max(job.unseen_runs_until - now, 0) * 1000)
    return {"unseen_runs_ms": unseen_ms, **fleet.count_claims()}
