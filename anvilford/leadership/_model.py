"""Data types of the leader election."""

import hashlib
import zlib
from collections.abc import Iterable

import attrs

# Number of fencing tokens reserved for each term. The hash of the leader's name
# selects the token within the term, so that members that lead in the same term
# without knowing of each other normally use different tokens. Targets would
# obey both of them otherwise, so there are far more tokens than pairs of
# members. All entries of a site must use the same number.
FENCING_TOKENS_PER_TERM = 1 << 20


@attrs.frozen
class Member:
    """An entry daemon that can be elected leader.

    Attributes:
        name: Name of the VM on which the daemon runs.
        zone: Availability zone of the VM.
        address: Address for messages from other entries, "IP:port".
        cores: Processor share of the VM, in cores. Members with more cores
            are preferred as leader.
        token: Random value that each process draws at its start. It
            distinguishes a restarted process from its predecessor.
    """

    name: str
    zone: str
    address: str
    cores: float
    token: str


def digest_members(members: Iterable[Member]) -> int:
    """Returns a digest of a set of members, as a signed 64-bit integer.

    Members with equal digests have equal attributes, in any order; 0 for no
    members.
    """
    rows = sorted(attrs.astuple(member) for member in members)
    if not rows:
        return 0
    digest = hashlib.blake2b(repr(rows).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big", signed=True)


@attrs.frozen
class Leader:
    """The member that places jobs, and the term in which it leads.

    Attributes:
        term: Election term. Each new leader takes a higher term; 0 means that
            there has been no leader.
        member: The leading member.
        is_partial: True if the leader places jobs only on targets of its own
            zone, while that zone is cut off from the rest of the site.
    """

    term: int
    member: Member
    is_partial: bool = False

    @property
    def fence(self) -> int:
        """Fencing token of the orders that this leader sends to targets."""
        offset = zlib.crc32(self.member.name.encode()) % (
            FENCING_TOKENS_PER_TERM - 1
        )
        return self.term * FENCING_TOKENS_PER_TERM + 1 + offset


@attrs.frozen
class Opinion:
    """Reply of a member to a leader query.

    Attributes:
        member: The member that replies.
        term: Highest term that the member has seen.
        can_lead: Whether the member is able to lead now.
        reaches_leader: Whether the leader that the member follows answers its
            heartbeats; True if the member itself leads.
        leader: The leader that the member follows; meaningless if
            `reaches_leader` is False.
    """

    member: Member
    term: int
    can_lead: bool
    reaches_leader: bool
    leader: Leader

    @property
    def is_leader(self) -> bool:
        """Whether the replying member is itself the leader."""
        return self.reaches_leader and self.leader.member == self.member
