"""Heartbeats of the members, as received by the leader."""

import logging

from anvilford.leadership import Member

# The jobs of a member without a heartbeat for this long are stopped. Related
# times: callers resubmit a job 1.3 s after its connection broke, and the lease
# of a run lasts 1.02 s.
MEMBER_LIVE_TIMEOUT_S = 0.6
# Members count towards the majority for this long after their last heartbeat,
# so that members in a zone that was cut off for some seconds still count.
MEMBER_RETENTION_S = 15.0

_logger = logging.getLogger(__name__)


class HeartbeatTracker:
    """Records when the leader last received a heartbeat of each member.

    Times are those of `clock.now`, in seconds.

    Attributes:
        local_member: The leader itself, which always counts as live.
        live_names: Names of the members whose last heartbeat was received at
            most `MEMBER_LIVE_TIMEOUT_S` ago, as of the last call of `expire`.
    """

    def __init__(self, local_member: Member):
        self.local_member = local_member
        self.live_names: set[str] = set()
        self._last_heartbeats: dict[str, tuple[Member, float]] = {}
        # Result of `known_members`; None after a change.
        self._known_members: tuple[Member, ...] | None = None

    def reset(self, members: list[Member], now: float) -> None:
        """Replaces all members by the given ones, which count as live."""
        self._last_heartbeats = {
            member.name: (member, now) for member in members
        }
        self.live_names = set(self._last_heartbeats)
        self._known_members = None

    def record_heartbeat(self, member: Member, now: float) -> None:
        """Records a heartbeat of a member; the member counts as live."""
        if member.name not in self.live_names:
            self.live_names.add(member.name)
            _logger.info(
                "first heartbeat from a new or returning member",
                extra={"member": member.name},
            )
        known, _ = self._last_heartbeats.get(member.name, (None, 0.0))
        if known != member:
            self._known_members = None
        self._last_heartbeats[member.name] = (member, now)

    def expire(self, now: float) -> None:
        """Updates the live members and removes those past their retention."""
        self._last_heartbeats[self.local_member.name] = (self.local_member, now)
        for name, (_, received_at) in list(self._last_heartbeats.items()):
            if now - received_at > MEMBER_RETENTION_S:
                del self._last_heartbeats[name]
                self._known_members = None
        live = {
            name
            for name, (_, received_at) in self._last_heartbeats.items()
            if now - received_at <= MEMBER_LIVE_TIMEOUT_S
        }
        for name in self.live_names - live:
            _logger.warning(
                "no heartbeat from member within the timeout; stopping its"
                " jobs",
                extra={"member": name},
            )
        self.live_names = live

    def heartbeat_ages(self, now: float) -> dict[str, float]:
        """Returns the seconds since the last heartbeat, by member name."""
        return {
            name: now - received_at
            for name, (_, received_at) in self._last_heartbeats.items()
        }

    def known_members(self) -> tuple[Member, ...]:
        """Returns the members that count towards the majority.

        The tuple is the same object until the members change.
        """
        if self._known_members is None:
            self._known_members = tuple(
                member for member, _ in self._last_heartbeats.values()
            )
        return self._known_members
