"""Disruptions of a day that real processes can be given, and its file.

The kinds are named as those of the users' bench:

    burst      x times the jobs of a kind ("class") or of all
    zone_cut   a zone is cut off; callers still reach its entries
    node_cut   how "leader all": the leader is, from all entries and the store
    core_cut   entries are, from the other entries only: those of a zone, with how
               "split" a random half, with how "leader" the leader; with "store" in
               how from the store, too
    node_freeze  "count" entries (1) stand still; how "leader": the leader first
    node_kill  "count" entries (1) are killed and start again at once, with how "power"
               after for_s, and nobody reaches them meanwhile; how "leader" as above
    srv_crash  a "share" (0.15) of the targets are down for for_s and then start as new
               incarnations; connections are reset, with how "dark" they are silent
    srv_cut    a "share" (0.2) of the targets are cut off from all entries and the
               store, with how "some" only from a share "x" (0.3) of the entries; with
               "reborn" in how they restart as new incarnations in the middle of it
    applied_late  a share "x" of the orders to targets gets no answer and is carried
               out 2 to 12 s later

Cuts are silent unless how holds "reset". With "one_way" only the bytes of the side
that is cut off are lost, with "one_way in" only those to it. Steps of an entry's
clock cannot be played: it takes root to give a process a clock of its own.
"""

import pathlib
import tomllib

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


Cut = ZoneCut | LeaderCut | EntryCut
Disruption = (
    Burst | Cut | LateOrders | Stall | EntryKill | TargetCrash | TargetCut
)


def load_day(path: pathlib.Path) -> list[Disruption]:
    """Returns the disruptions of the first day of a file, by time.

    Raises:
        ValueError: The day has a disruption of another kind.
    """
    return parse_day(path.read_text(encoding="utf-8"))


def parse_day(text: str) -> list[Disruption]:
    """Returns the disruptions of the first day of a file's text, by time."""
    day = tomllib.loads(text)["day"][0]
    disruptions = [_parse_fault(fault) for fault in day["faults"]]
    return sorted(disruptions, key=lambda disruption: disruption.at)


def _parse_fault(fault: dict) -> Disruption:
    at, length = fault["at"], fault["for_s"]
    words = fault.get("how", "").split()
    rest, how = _parse_how(words)
    with_store = "store" in rest
    match fault, rest - {"store"}:
        case {"kind": "burst", "x": factor}, _:
            return Burst(at, length, fault.get("class"), factor)
        case {"kind": "zone_cut", "zone": zone}, _ if not rest:
            return ZoneCut(at, length, zone, how)
        case {"kind": "node_cut"}, _ if rest == {"leader", "all"}:
            return LeaderCut(at, length, how)
        case {"kind": "core_cut", "zone": zone}, others if not others:
            return EntryCut(at, length, zone, how, with_store)
        case {"kind": "core_cut"}, others if others == {"split"}:
            return EntryCut(at, length, None, how, with_store)
        case {"kind": "core_cut"}, others if others == {"leader"}:
            return LeaderCut(at, length, how, with_store)
        case {"kind": "applied_late", "x": share}, _ if rest <= {"orders"}:
            return LateOrders(at, length, share)
        case {"kind": "node_freeze"}, _ if rest <= {"leader"}:
            count = fault.get("count", 1)
            return Stall(at, length, "leader" in rest, count)
        case {"kind": "node_kill"}, _ if rest <= {"leader", "power"}:
            is_dark = "power" in rest
            length = length if is_dark else 0.0
            count = fault.get("count", 1)
            return EntryKill(at, length, "leader" in rest, count, is_dark)
        case {"kind": "srv_crash"}, _ if set(words) <= {"dark"}:
            how = How.DROP if "dark" in rest else How.RESET
            return TargetCrash(at, length, fault.get("share", 0.15), how)
        case {"kind": "srv_cut"}, _ if rest <= {"some", "reborn"}:
            from_share = fault.get("x", 0.3) if "some" in rest else None
            share, is_reborn = fault.get("share", 0.2), "reborn" in rest
            return TargetCut(at, length, share, how, from_share, is_reborn)
    raise ValueError(f"cannot be given to processes: {fault}")


def _parse_how(words: list[str]) -> tuple[set[str], How]:
    """Returns the words of `how` that do not say what connections do."""
    rest = set(words) - {"reset", "drop", "one_way", "in", "out"}
    if "reset" in words:
        return rest, How.RESET
    if "one_way" in words:
        return rest, How.ONE_WAY_IN if "in" in words else How.ONE_WAY_OUT
    return rest, How.DROP


def format_day(name: str, disruptions: list[Disruption]) -> str:
    """Returns the text of a day file from which `parse_day` has the same."""
    faults = "".join(
        f"  {_format_fault(disruption)},\n" for disruption in disruptions
    )
    return f'[[day]]\nname = "{name}"\nfaults = [\n{faults}]\n'


def _format_fault(disruption: Disruption) -> str:
    fields: dict[str, object] = {
        "at": disruption.at,
        "for_s": disruption.length,
    }
    match disruption:
        case Burst(kind=kind, factor=factor):
            fields |= {"kind": "burst", "x": factor}
            fields |= {"class": kind} if kind else {}
        case ZoneCut(zone=zone, how=how):
            fields |= {"kind": "zone_cut", "how": how.value, "zone": zone}
        case LeaderCut(how=how, with_store=True):
            fields |= {"kind": "node_cut", "how": f"leader all {how.value}"}
        case LeaderCut(how=how):
            fields |= {"kind": "core_cut", "how": f"leader {how.value}"}
        case EntryCut(zone=zone, how=how, with_store=with_store):
            words = ["store"] * with_store + ["split"] * (zone is None)
            words.append(how.value)
            fields |= {"kind": "core_cut", "how": " ".join(words)}
            fields |= {"zone": zone} if zone else {}
        case LateOrders(share=share):
            fields |= {"kind": "applied_late", "x": share, "how": "orders"}
        case Stall(with_leader=with_leader, count=count):
            fields |= {"kind": "node_freeze", "count": count}
            fields |= {"how": "leader"} if with_leader else {}
        case EntryKill(with_leader=with_leader, is_dark=is_dark):
            words = ["leader"] * with_leader + ["power"] * is_dark
            fields |= {"kind": "node_kill", "count": disruption.count}
            fields |= {"how": " ".join(words)}
        case TargetCrash(share=share, how=how):
            fields |= {"kind": "srv_crash", "share": share}
            fields |= {"how": "dark"} if how is How.DROP else {}
        case TargetCut(share=share, how=how, from_share=from_share):
            some = from_share is not None
            words = ["some"] * some + ["reborn"] * disruption.is_reborn
            words.append(how.value)
            fields |= {"kind": "srv_cut", "share": share}
            fields |= {"how": " ".join(words)}
            fields |= {"x": from_share} if some else {}
    return (
        "{ " + ", ".join(f"{k} = {_toml(v)}" for k, v in fields.items()) + " }"
    )


def _toml(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)


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
