"""What a connection holds, and which connections make room for others.

The functions here decide without I/O and without reading a clock. The load that
they address is a crowd of clients that send requests without ever completing
them, or that leave answers unread.
"""

import enum
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.http1._limits import ListenerLimits

# A request that came whole within this many bytes is an ordinary one: a job's spec
# has 4,000 bytes at most, and steps and headers take some KB more.
ORDINARY_BYTES = 16384
# Age of an incomplete request or a silent connection, in seconds, up to which it is
# taken for one of an ordinary caller. These complete within milliseconds.
FRESH_S = 1.0
# Time in which a client may read the answer that refuses its request, in seconds.
LINGER_S = 1.0


class Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        NEW: The first byte of its first request.
        INCOMPLETE: The rest of a request.
        SERVED: Answers of the handler.
        IDLE: The next request, after an answer.
        UNREAD: The client, which has to read answers.
        REFUSED: The client, which may read the last answer before the end.
    """

    NEW = enum.auto()
    INCOMPLETE = enum.auto()
    SERVED = enum.auto()
    IDLE = enum.auto()
    UNREAD = enum.auto()
    REFUSED = enum.auto()


class Expiry(enum.Enum):
    """Which time limit of a connection has passed; values are the reasons.

    Attributes:
        IDLE: It was idle for too long.
        TIMEOUT: Its request did not become complete in time.
        TOO_SLOW: Its request arrives too slowly.
        UNREAD: The client does not read the answers.
        LINGERED: The client had its time to read the last answer.
    """

    IDLE = "idle"
    TIMEOUT = "request_timeout"
    TOO_SLOW = "too_slow"
    UNREAD = "unread_answers"
    LINGERED = "lingered"


@attrs.define(eq=False)
class Holding:
    """Memory and progress of one connection.

    Attributes:
        refuse: Refuses what the connection has not begun to serve, for the
            reason given, and frees its memory.
        since: Time at which the phase began, in seconds.
        progressed_at: Time of the last progress: a byte of a body, the end of a
            head or a change of the phase.
        phase: What the connection waits for.
        held_bytes: Memory that it occupies, in bytes.
        served_bytes: Part of it that belongs to the request being handled.
        received_bytes: Bytes received of the incomplete request, with its
            framing.
        body_bytes: Length of its body so far.
    """

    refuse: Callable[[str], None]
    since: float = 0.0
    progressed_at: float = 0.0
    phase: Phase = Phase.NEW
    held_bytes: int = 0
    served_bytes: int = 0
    received_bytes: int = 0
    body_bytes: int = 0


def is_ordinary(holding: Holding, now: float) -> bool:
    """Returns whether a connection may be one of an ordinary caller.

    It is never refused to free memory.
    """
    freeable = holding.held_bytes - holding.served_bytes
    match holding.phase:
        case Phase.INCOMPLETE:
            return freeable <= ORDINARY_BYTES and now - holding.since <= FRESH_S
        case Phase.SERVED:
            return freeable <= ORDINARY_BYTES
        case Phase.UNREAD:
            return False
    return True


def cost_rank(holding: Holding, now: float) -> float:
    """Returns by how much a connection should go first to free memory.

    It grows with the memory held and the time for which it is held, and falls
    with the body that has arrived. Large bodies that arrive fast therefore rank
    below bodies that stand still, and below headers that drip.
    """
    freeable = holding.held_bytes - holding.served_bytes
    age = max(now - holding.since, 0.001)
    return freeable * age / (holding.body_bytes + 1024)


def choose_victims(
    holdings: Iterable[Holding], excess_bytes: int, now: float
) -> list[Holding]:
    """Returns the connections that should be refused to free memory.

    Args:
        holdings: All connections.
        excess_bytes: Memory to be freed. It is not reached if the rest belongs
            to ordinary connections and to requests that are handled.
        now: Time, in seconds.
    """
    candidates = [h for h in holdings if not is_ordinary(h, now)]
    candidates.sort(key=lambda holding: cost_rank(holding, now), reverse=True)
    victims = []
    for holding in candidates:
        if excess_bytes <= 0:
            break
        victims.append(holding)
        excess_bytes -= holding.held_bytes - holding.served_bytes
    return victims


def choose_for_room(
    refused: Iterable[Holding],
    incomplete: Iterable[Holding],
    unread: Iterable[Holding],
    idle: Iterable[Holding],
    now: float,
) -> Holding | None:
    """Returns the connection that ends in favor of a new one, if any.

    Each argument holds the connections of a phase, those that have waited or
    gone without progress the longest first. Connections that are served never
    end for this reason.
    """
    for holding in refused:
        return holding
    oldest = next(iter(incomplete), None)
    if oldest is not None and now - oldest.progressed_at > FRESH_S:
        return oldest
    for holding in unread:
        return holding
    return next(iter(idle), oldest)


def find_expiry(
    holding: Holding, limits: ListenerLimits, has_unread: bool, now: float
) -> Expiry | None:
    """Returns which time limit of a connection has passed, if any.

    Args:
        holding: The connection.
        limits: Limits of its listener.
        has_unread: Whether answers wait in the process for the client.
        now: Time, in seconds.
    """
    age = now - holding.since
    match holding.phase:
        case Phase.NEW | Phase.IDLE if age > limits.idle_timeout_s:
            return Expiry.IDLE
        case Phase.INCOMPLETE if age > limits.request_timeout_s:
            return Expiry.TIMEOUT
        case Phase.INCOMPLETE if (
            age > limits.rate_grace_s
            and holding.received_bytes < limits.min_request_rate * age
        ):
            return Expiry.TOO_SLOW
        case Phase.UNREAD if age > limits.unread_answer_timeout_s:
            return Expiry.UNREAD
        case Phase.REFUSED if has_unread:
            if age > limits.unread_answer_timeout_s:
                return Expiry.UNREAD
        case Phase.REFUSED if age > LINGER_S:
            return Expiry.LINGERED
    return None
