"""Heartbeats of the members, as received by the leader."""

import logging
import math
from collections.abc import Callable

import attrs

from anvilford.leadership import Member
from anvilford.placement import EntryPermissions
from anvilford.placement import PROOF_TIMEOUT_S

# The jobs of a member without a heartbeat for this long are stopped, well before
# its permission ends (`placement/_permissions.py`).
MEMBER_LIVE_TIMEOUT_S = 0.6
# Members that were silent for this long may follow another leader: two of their
# heartbeats are due meanwhile. Shorter than the time after which their jobs are
# stopped, since less depends on it.
MEMBER_SILENT_AFTER_S = 0.4
# Longest time between two checks of the members.
MEMBER_CHECK_INTERVAL_S = 0.05
# A member that has been silent for this long may be gone for good, as after the
# loss of its machine. Silence alone does not show it, since a cut may last longer:
# see `HeartbeatTracker.forget_lost_members`.
MEMBER_RETENTION_S = 15.0
# Time for which this leader must have controlled the zone of such a member. After
# a cut, targets answer at once, and a member that followed another leader a
# second later; with a slow store, after two calls (`STORE_TIMEOUT_S`).
MEMBER_RETURN_S = 5.0
# Longest time between two checks that show control of a zone without a gap. A
# check probes the targets whose last answer is too old.
CONTROL_GAP_S = 1.0

_logger = logging.getLogger(__name__)


@attrs.frozen
class _Heartbeat:
    """Last heartbeat of a member.

    Attributes:
        member: The sender.
        received_at: Time at which it was read.
        followed_at: Time after which the member is known to have sent it.
    """

    member: Member
    received_at: float
    followed_at: float


class HeartbeatTracker:
    """Records when the leader last received a heartbeat of each member.

    Times are those of `clock.now`, in seconds.

    Attributes:
        local_member: The leader itself, which always counts as live.
        live_names: Names of the members whose last heartbeat was received at
            most `MEMBER_LIVE_TIMEOUT_S` ago and proves that they followed this
            leader `PROOF_TIMEOUT_S` ago or later, as of the last call
            of `expire`.
        hears_site: Whether all known members were heard within
            `MEMBER_SILENT_AFTER_S`, as of the last call of `expire`. A missing
            one may follow another leader, or lead its zone.
        contested_at: Time at which a target last obeyed another leader.
        permissions: When each member is last proved to have followed.
    """

    def __init__(self, local_member: Member):
        self.local_member = local_member
        self.live_names: set[str] = set()
        self.hears_site = True
        self.contested_at = -math.inf
        self.permissions = EntryPermissions()
        self._last_heartbeats: dict[str, _Heartbeat] = {}
        self._checked_at = -math.inf
        # Times of the first and the last check that showed control of a zone
        # without a gap.
        self._controlled: dict[str, tuple[float, float]] = {}
        # Result of `known_members`; None after a change.
        self._known_members: tuple[Member, ...] | None = None

    def reset(self, members: list[Member], now: float) -> None:
        """Replaces all members by the given ones, which count as live."""
        self._last_heartbeats = {
            member.name: _Heartbeat(member, now, now) for member in members
        }
        self.live_names = set(self._last_heartbeats)
        self.permissions.reset(self._last_heartbeats, now)
        self._checked_at = now
        self.hears_site = True
        self._controlled.clear()
        self._known_members = None

    def record_heartbeat(
        self, member: Member, now: float, followed_at: float
    ) -> None:
        """Records a heartbeat of a member.

        Args:
            member: The sender, which counts as live.
            now: Current time in seconds.
            followed_at: Time after which the member sent the heartbeat; 0 if
                it has not received an answer of this leader.
        """
        self.permissions.renew(member.name, followed_at, now)
        last = self._last_heartbeats.get(member.name)
        if last is None or last.member != member:
            self._known_members = None
        if member.name not in self.live_names:
            self.live_names.add(member.name)
            # It counts as a member again, but has no permission yet.
            followed_at = now
            _logger.info(
                "first heartbeat from a new or returning member",
                extra={"member": member.name},
            )
        elif last is not None:
            followed_at = max(followed_at, last.followed_at)
        self._last_heartbeats[member.name] = _Heartbeat(
            member, now, followed_at
        )

    def expire(self, now: float) -> None:
        """Updates the live members and those with permission.

        The local member is only known to have followed at the last check: the
        loss of a caller since then may not have been handled yet.
        """
        self.permissions.renew(self.local_member.name, self._checked_at, now)
        self._checked_at = now
        self._last_heartbeats[self.local_member.name] = _Heartbeat(
            self.local_member, now, now
        )
        live = {
            name
            for name, last in self._last_heartbeats.items()
            if now - last.received_at <= MEMBER_LIVE_TIMEOUT_S
            and now - last.followed_at <= PROOF_TIMEOUT_S
        }
        for name in self.live_names - live:
            _logger.warning(
                "no heartbeat from member within the timeout; stopping its"
                " jobs",
                extra={"member": name},
            )
        self.live_names = live
        self.permissions.expire(live, now)
        self._update_hears_site(now)

    def forget_lost_members(
        self, now: float, controls_zone: Callable[[str], bool | None]
    ) -> None:
        """Removes members that have been silent since they were lost for good.

        A cut makes members silent as well, for any time. They are forgotten only
        by a leader that hears most of the known members, and when no other
        leader could place jobs on the targets of their zone for
        `MEMBER_RETURN_S`. Otherwise both sides of a cut would become the majority
        of what they still know.

        Args:
            now: Current time in seconds.
            controls_zone: Returns whether all targets of a zone obey this
                leader; None for a zone without targets, of which another member
                has to be heard instead.
        """
        if (
            not self.has_majority
            or now - self.contested_at <= MEMBER_RETENTION_S
        ):
            return
        silent = [
            last
            for last in self._last_heartbeats.values()
            if now - last.received_at > MEMBER_RETENTION_S - MEMBER_RETURN_S
        ]
        heard_zones = {member.zone for member in self.live_members()}
        controlled = {
            zone
            for zone in {last.member.zone for last in silent}
            if self._has_controlled(
                zone, controls_zone(zone), zone in heard_zones, now
            )
        }
        for last in silent:
            is_lost = now - last.received_at > MEMBER_RETENTION_S
            if is_lost and last.member.zone in controlled:
                self._forget(last, now)

    def _has_controlled(
        self, zone: str, controls: bool | None, is_heard: bool, now: float
    ) -> bool:
        """Returns whether this leader has controlled a zone for long enough."""
        if not (controls or (controls is None and is_heard)):
            return False
        since, last = self._controlled.get(zone, (now, now))
        if now - last > CONTROL_GAP_S:
            since = now
        self._controlled[zone] = (since, now)
        return now - since >= MEMBER_RETURN_S

    def _forget(self, last: _Heartbeat, now: float) -> None:
        del self._last_heartbeats[last.member.name]
        self._known_members = None
        _logger.warning(
            "silent member does not count any more",
            extra={
                "member": last.member.name,
                "zone": last.member.zone,
                "silent_ms": int((now - last.received_at) * 1000),
                **self.counts,
            },
        )

    def _update_hears_site(self, now: float) -> None:
        missing = sorted(
            name
            for name, last in self._last_heartbeats.items()
            if now - last.received_at > MEMBER_SILENT_AFTER_S
        )
        hears_site = not missing
        if hears_site != self.hears_site:
            _logger.info(
                "all members are heard again"
                if hears_site
                else "members are missing; another leader may serve them",
                extra={
                    "members_known": len(self._last_heartbeats),
                    "missing": missing,
                },
            )
        self.hears_site = hears_site

    def heartbeat_ages(self, now: float) -> dict[str, float]:
        """Returns the seconds since the last heartbeat, by member name."""
        return {
            name: now - last.received_at
            for name, last in self._last_heartbeats.items()
        }

    @property
    def oldest_proof_of_all(self) -> float:
        """Oldest of the last proofs of all known members, in seconds.

        Minus infinity while one of them has none, and while no other member is
        known: there may be some.
        """
        if len(self._last_heartbeats) < 2:
            return -math.inf
        return min(
            self.permissions.proof(name) for name in self._last_heartbeats
        )

    def live_members(self) -> list[Member]:
        """Returns the members that count as live."""
        return [
            last.member
            for name, last in self._last_heartbeats.items()
            if name in self.live_names
        ]

    def silent_zones(self) -> set[str]:
        """Returns the zones of known members none of which counts as live."""
        return {last.member.zone for last in self._last_heartbeats.values()} - {
            member.zone for member in self.live_members()
        }

    @property
    def has_majority(self) -> bool:
        """Whether more than half of the known members count as live."""
        return 2 * len(self.live_names) > len(self._last_heartbeats)

    @property
    def counts(self) -> dict[str, int]:
        """Number of members that are live and known, for the log."""
        return {
            "members_live": len(self.live_names),
            "members_known": len(self._last_heartbeats),
        }

    def known_members(self) -> tuple[Member, ...]:
        """Returns the members that count towards the majority.

        The tuple is the same object until the members change.
        """
        if self._known_members is None:
            self._known_members = tuple(
                last.member for last in self._last_heartbeats.values()
            )
        return self._known_members
