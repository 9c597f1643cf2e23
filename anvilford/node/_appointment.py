"""Decides which member a leader asks to lead in its place, and when."""

from collections.abc import Iterable

from anvilford.leadership import find_better_leader
from anvilford.leadership import Member

# A leader with a much better member appoints it when it has led for this long:
# members without a heartbeat no longer count as live then.
APPOINT_AFTER_S = 1.0
# Shortest time between two appointments of the same process. It may not have
# taken over, or have lost the lead since.
APPOINT_AGAIN_AFTER_S = 10.0


class Appointments:
    """Appointments by one member while it leads."""

    def __init__(self):
        self._may_appoint_at = 0.0
        # The member that was appointed last, and when it may be appointed again.
        self._last: tuple[Member | None, float] = (None, 0.0)

    def record_lead(self, now: float) -> None:
        """Records that the member begins to lead, at a time in seconds."""
        self._may_appoint_at = now + APPOINT_AFTER_S

    def choose(
        self, local_member: Member, live_members: Iterable[Member], now: float
    ) -> Member | None:
        """Returns the member to appoint now, if any, and remembers it.

        Args:
            local_member: The leading member.
            live_members: Members that send heartbeats.
            now: Current time in seconds.
        """
        if now < self._may_appoint_at:
            return None
        better = find_better_leader(local_member, live_members)
        appointed, may_appoint_again_at = self._last
        if better is None or (
            better == appointed and now < may_appoint_again_at
        ):
            return None
        self._last = (better, now + APPOINT_AGAIN_AFTER_S)
        return better
