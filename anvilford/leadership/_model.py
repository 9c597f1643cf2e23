"""Members, leaders and what members say of them."""

import zlib

import attrs

# Fencing tokens of one term: one for each remainder of a member's name, so
# that members that lead in the same term without knowing of each other don't
# share a token.
FENCING_TOKENS_PER_TERM = 64


@attrs.frozen
class Member:
    """An entry daemon that may lead.

    Attributes:
        name: Name of its VM.
        zone: Availability zone.
        address: Peer address, "IP:port".
        cores: Processor share, in cores; larger ones lead first.
        token: Random per process; tells a restarted process from its
            predecessor.
    """

    name: str
    zone: str
    address: str
    cores: float
    token: str


@attrs.frozen
class Leader:
    """Which member places jobs, and since which term.

    Attributes:
        term: Grows with each change; 0 if there was none.
        member: The leader.
        is_partial: True if it serves its own zone only, while that zone is
            cut off from the rest of the site.
    """

    term: int
    member: Member
    is_partial: bool = False

    @property
    def fence(self) -> int:
        """Fencing token of its orders."""
        number = zlib.crc32(self.member.name.encode()) % (
            FENCING_TOKENS_PER_TERM - 1
        )
        return self.term * FENCING_TOKENS_PER_TERM + 1 + number


@attrs.frozen
class Opinion:
    """What a member says of leadership.

    Attributes:
        member: The member.
        term: Highest term that it knows.
        can_lead: Whether it could lead.
        reaches_leader: Whether its leader answers it; True if it leads.
        leader: Its leader; meaningless unless `reaches_leader`.
    """

    member: Member
    term: int
    can_lead: bool
    reaches_leader: bool
    leader: Leader

    @property
    def is_leader(self) -> bool:
        """Whether the member leads itself."""
        return self.reaches_leader and self.leader.member == self.member
