"""What an entry tells operators of itself, for `anvilctl status`."""

from collections.abc import Mapping
from typing import Any

from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator


def describe_entry(
    coordination: LeadershipCoordinator,
    is_ready: bool,
    now: float | None = None,
) -> dict[str, Any]:
    """Describes an entry in the form of the product's own status.

    Args:
        coordination: Knows the leader, the members and the site.
        is_ready: Whether the entry takes requests.
        now: Time; None reads the clock.

    Returns:
        Plain values for JSON. Ages are in milliseconds, and None for members
        that this entry does not hear itself.
    """
    now = clock.now() if now is None else now
    ages = (
        coordination.heartbeats.heartbeat_ages(now)
        if coordination.driver
        else {}
    )
    table = coordination.site.routing_table
    leader = coordination.leader
    return {
        "entry": {
            "address": coordination.local_member.address,
            "zone": coordination.local_member.zone,
            "ready": is_ready,
            "draining": coordination.is_stopping,
        },
        "configuration": {
            "version": table.version if table else 0,
            "preset": "none",
            "author": "the platform's operator",
        },
        "store": {"reachable": coordination.leader_row.store_reachable},
        "vms": [
            _describe_member(member, ages, coordination)
            for member in sorted(
                coordination.membership.members, key=lambda m: m.name
            )
        ],
        "placement": {
            "leader": leader.member.name if leader else None,
            "term": coordination.term,
            "is_partial": bool(leader and leader.is_partial),
            "targets_listed": len(coordination.site.targets),
            "jobs_waiting": dict(coordination.waiting_jobs),
        },
    }


def _describe_member(
    member: Member,
    ages: Mapping[str, float],
    coordination: LeadershipCoordinator,
) -> dict[str, Any]:
    age = ages.get(member.name)
    return {
        "vm_id": member.name,
        "zone": member.zone,
        "address": member.address,
        "heartbeat_age_ms": None if age is None else int(1000 * age),
        "configuration_version": None,
        "reachable": member.name in coordination.heartbeats.live_names
        if coordination.driver
        else None,
        "draining": None,
    }
