"""Disruptions of a day that real processes can be given."""

import attrs

from testkit.cuts._links import How


@attrs.frozen
class Burst:
    """Jobs of one kind arrive more often for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        kind: Name of the kind of job; None for all.
        factor: Factor by which they arrive more often.
    """

    at: float
    length: float
    kind: str | None
    factor: float


@attrs.frozen
class ZoneCut:
    """A zone is cut off from the others and from the store for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        zone: The zone.
        how: What happens to connections.
    """

    at: float
    length: float
    zone: str
    how: How = How.RESET


@attrs.frozen
class LeaderCut:
    """The leader of that moment is cut off from the other entries for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        how: What happens to connections.
        with_store: Whether it is cut off from the store, too.
    """

    at: float
    length: float
    how: How = How.RESET
    with_store: bool = True


@attrs.frozen
class EntryCut:
    """Entries are cut off from the others, but not from targets, for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        zone: Zone of the entries; None for a random half of all.
        how: What happens to connections.
        with_store: Whether they are cut off from the store, too.
    """

    at: float
    length: float
    zone: str | None = None
    how: How = How.RESET
    with_store: bool = False


@attrs.frozen
class Stall:
    """Entries are suspended for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        with_leader: Whether the leader is one of them.
        count: Number of entries.
    """

    at: float
    length: float
    with_leader: bool = True
    count: int = 1


@attrs.frozen
class LateOrders:
    """Orders to targets get no answer and are carried out late for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        share: Share of the orders.
    """

    at: float
    length: float
    share: float


@attrs.frozen
class EntryKill:
    """Entries are killed and started again, at once or after a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Time until they are started, in seconds.
        with_leader: Whether the leader is one of them.
        count: Number of entries.
        is_dark: Whether their connections hang meanwhile, instead of being
            closed.
    """

    at: float
    length: float
    with_leader: bool = False
    count: int = 1
    is_dark: bool = False


@attrs.frozen
class TargetCrash:
    """Targets crash and start again as new incarnations after a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Time until they are started, in seconds.
        share: Share of the targets.
        how: What happens to connections.
    """

    at: float
    length: float
    share: float = 0.15
    how: How = How.RESET


@attrs.frozen
class TargetCut:
    """Targets are cut off from entries for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        share: Share of the targets.
        how: What happens to connections.
        from_share: Share of the entries from which they are cut off; None for
            all entries and the store.
        is_reborn: Whether they restart as new incarnations in the middle.
    """

    at: float
    length: float
    share: float = 0.2
    how: How = How.DROP
    from_share: float | None = None
    is_reborn: bool = False


@attrs.frozen
class StoreCut:
    """The store turns some entries away and serves the others for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        share: Share of the entries.
        how: What happens to their connections to the store.
        with_leader: Whether the leader is one of them.
    """

    at: float
    length: float
    share: float = 0.3
    how: How = How.REFUSED
    with_leader: bool = False


@attrs.frozen
class LateMessages:
    """Bytes between the leader and other entries arrive late for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Longest time for which they are held back, in seconds.
        share: Share of the other entries.
        how: What happens to the connections.
    """

    at: float
    length: float
    share: float = 0.5
    how: How = How.LATE


@attrs.frozen
class Drain:
    """Targets drain, leave the list while their runs last, and exit.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Time until they exit, in seconds. Their rows say that they drain
            for the first part of it, and are gone for the rest.
        share: Share of the targets.
        listed_share: Share of the time for which the rows are there.
        is_back: Whether they start again under their ids, as new incarnations.
    """

    at: float
    length: float
    share: float = 0.1
    listed_share: float = 0.5
    is_back: bool = False


Cut = ZoneCut | LeaderCut | EntryCut
Disruption = (
    Burst
    | Cut
    | LateOrders
    | Stall
    | EntryKill
    | TargetCrash
    | TargetCut
    | StoreCut
    | LateMessages
    | Drain
)


def stretch_day(
    disruptions: list[Disruption], factor: float
) -> list[Disruption]:
    """Returns the disruptions of a day whose times are all longer."""
    return [
        attrs.evolve(
            disruption,
            at=disruption.at * factor,
            length=disruption.length * factor,
        )
        for disruption in disruptions
    ]
