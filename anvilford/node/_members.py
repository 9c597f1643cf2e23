"""Members that a leader hears."""

import logging

from anvilford.leadership import Member

# Jobs of a member that was silent this long are stopped. Callers send a job
# again 1.3 s after a broken connection, and leases last 1.02 s.
MEMBER_LIVE_TIMEOUT_S = 0.6
# Members count for a majority this long after they were last heard, so that
# those in a zone that was cut off for some seconds still do.
MEMBER_RETENTION_S = 15.0

_logger = logging.getLogger(__name__)


class HeartbeatTracker:
    """Members by the time of their last heartbeat.

    Attributes:
        me: The leader itself, which is always heard.
        live: Names of the members that are not silent.
    """

    def __init__(self, me: Member):
        self.local_member = me
        self.live_names: set[str] = set()
        self._last_heartbeats: dict[str, tuple[Member, float]] = {}

    def reset(self, members: list[Member], now: float) -> None:
        """Begins with members that are taken to be alive."""
        self._last_heartbeats = {
            member.name: (member, now) for member in members
        }
        self.live_names = set(self._last_heartbeats)

    def record_heartbeat(self, member: Member, now: float) -> None:
        """Notes a heartbeat."""
        if member.name not in self.live_names:
            self.live_names.add(member.name)
            _logger.info("member heard", extra={"member": member.name})
        self._last_heartbeats[member.name] = (member, now)

    def expire(self, now: float) -> None:
        """Drops the members that are silent for too long."""
        self._last_heartbeats[self.local_member.name] = (self.local_member, now)
        for name, (_, heard_at) in list(self._last_heartbeats.items()):
            if now - heard_at > MEMBER_RETENTION_S:
                del self._last_heartbeats[name]
        live = {
            name
            for name, (_, heard_at) in self._last_heartbeats.items()
            if now - heard_at <= MEMBER_LIVE_TIMEOUT_S
        }
        for name in self.live_names - live:
            _logger.warning("member silent", extra={"member": name})
        self.live_names = live

    def heartbeat_ages(self, now: float) -> dict[str, float]:
        """Seconds since each member was heard, by name."""
        return {
            name: now - at for name, (_, at) in self._last_heartbeats.items()
        }

    def known_members(self) -> tuple[Member, ...]:
        """Members that count for a majority."""
        return tuple(member for member, _ in self._last_heartbeats.values())
