"""Status of an entry, as shown by `anvilctl status`."""

from collections.abc import Mapping
from typing import Any

from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator


def describe_entry(
    coordinator: LeadershipCoordinator,
    is_ready: bool,
    now: float | None = None,
) -> dict[str, Any]:
    """Returns the status of an entry as a JSON document.

    The document has the same format as the status of `anvilford.daemon`, with
    an additional "placement" object.

    Args:
        coordinator: Provides the leader, the members and the site.
        is_ready: Whether the entry accepts requests.
        now: Time of `clock.now`, in seconds; None reads the clock.

    Returns:
        Values that can be encoded as JSON. Heartbeat ages are in
        milliseconds. Heartbeat age, reachability and interfering tasks are
        None unless this entry leads, because only the leader receives
        heartbeats and measures run times.
    """
    now = clock.now() if now is None else now
    ages = (
        coordinator.heartbeats.heartbeat_ages(now) if coordinator.driver else {}
    )
    driver = coordinator.driver
    table = coordinator.site.routing_table
    leader = coordinator.leader
    return {
        "entry": {
            "address": coordinator.local_member.address,
            "zone": coordinator.local_member.zone,
            "ready": is_ready,
            "draining": coordinator.is_stopping,
        },
        "configuration": {
            "version": table.version if table else 0,
            "preset": "none",
            "author": "the platform's operator",
        },
        "store": {"reachable": coordinator.leader_row.store_reachable},
        "vms": [
            _describe_member(member, ages, coordinator)
            for member in sorted(
                coordinator.membership.members, key=lambda m: m.name
            )
        ],
        "placement": {
            "leader": leader.member.name if leader else None,
            "term": coordinator.term,
            "is_partial": bool(leader and leader.is_partial),
            "targets_listed": len(coordinator.site.targets),
            "jobs_waiting": dict(coordinator.waiting_jobs),
            "interfering_tasks": (
                driver.describe_interference() if driver else None
            ),
        },
    }


def _describe_member(
    member: Member,
    ages: Mapping[str, float],
    coordinator: LeadershipCoordinator,
) -> dict[str, Any]:
    age = ages.get(member.name)
    return {
        "vm_id": member.name,
        "zone": member.zone,
        "address": member.address,
        "heartbeat_age_ms": None if age is None else int(1000 * age),
        "configuration_version": None,
        "reachable": member.name in coordinator.heartbeats.live_names
        if coordinator.driver
        else None,
        "draining": None,
    }
