"""Reads and writes the file of a day.

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
    platform_down  with how "nodes", the store turns a "share" (0.3) of the entries
               away and serves the others: "refused", "reset", "503" or silent; with
               "leader", the leader is one of them
    peer_late  bytes between the leader and a "share" (0.5) of the other entries arrive
               for_s late, also those of closed connections; "late in": to the leader
    scale_in   a "share" (0.1) of the targets drain and exit after for_s; their rows are
               gone after a share "x" (0.5) of it; with how "again" they start again
               under their ids

Cuts are silent unless how holds "reset" or, for all but the store, "late". With "one_way" only the bytes of the side
that is cut off are lost, with "one_way in" only those to it. Steps of an entry's
clock cannot be played: it takes root to give a process a clock of its own.
"""

import pathlib
import tomllib

from testkit.cuts._day import Burst
from testkit.cuts._day import Disruption
from testkit.cuts._day import Drain
from testkit.cuts._day import EntryCut
from testkit.cuts._day import EntryKill
from testkit.cuts._day import LateMessages
from testkit.cuts._day import LateOrders
from testkit.cuts._day import LeaderCut
from testkit.cuts._day import Stall
from testkit.cuts._day import StoreCut
from testkit.cuts._day import TargetCrash
from testkit.cuts._day import TargetCut
from testkit.cuts._day import ZoneCut
from testkit.cuts._links import How


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
    return _parse_target_fault(fault, rest, how)


def _parse_target_fault(fault: dict, rest: set[str], how: How) -> Disruption:
    """Returns the disruption of targets or of the store for a fault."""
    at, length = fault["at"], fault["for_s"]
    words = fault.get("how", "").split()
    match fault, rest:
        case {"kind": "srv_crash"}, _ if set(words) <= {"dark"}:
            how = How.DROP if "dark" in rest else How.RESET
            return TargetCrash(at, length, fault.get("share", 0.15), how)
        case {"kind": "srv_cut"}, _ if rest <= {"some", "reborn"}:
            from_share = fault.get("x", 0.3) if "some" in rest else None
            share, is_reborn = fault.get("share", 0.2), "reborn" in rest
            return TargetCut(at, length, share, how, from_share, is_reborn)
        case {"kind": "platform_down"}, _ if (
            "nodes"
            in rest
            <= {
                "nodes",
                "leader",
            }
        ):
            share = fault.get("share", 0.3)
            return StoreCut(at, length, share, how, "leader" in rest)
        case {"kind": "peer_late"}, _ if not rest:
            return LateMessages(at, length, fault.get("share", 0.5), how)
        case {"kind": "scale_in"}, _ if set(words) <= {"again"}:
            share, listed_share = fault.get("share", 0.1), fault.get("x", 0.5)
            return Drain(at, length, share, listed_share, "again" in rest)
    raise ValueError(f"cannot be given to processes: {fault}")


def _parse_how(words: list[str]) -> tuple[set[str], How]:
    """Returns the words of `how` that do not say what connections do."""
    rest = set(words) - {"reset", "drop", "one_way", "in", "out"}
    for how in (How.REFUSED, How.UNAVAILABLE, How.LATE):
        if how.value in rest:
            is_late_in = how is How.LATE and "in" in words
            return rest - {how.value}, How.LATE_IN if is_late_in else how
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
        case _:
            fields |= _target_fields(disruption)
    return (
        "{ " + ", ".join(f"{k} = {_toml(v)}" for k, v in fields.items()) + " }"
    )


def _target_fields(disruption: Disruption) -> dict[str, object]:
    """Returns the fields of a disruption of targets or of the store."""
    fields: dict[str, object] = {}
    match disruption:
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
        case StoreCut(share=share, how=how, with_leader=with_leader):
            words = ["nodes", *["leader"] * with_leader, how.value]
            fields |= {"kind": "platform_down", "share": share}
            fields |= {"how": " ".join(words)}
        case LateMessages(share=share, how=how):
            fields |= {"kind": "peer_late", "share": share, "how": how.value}
        case Drain(share=share, listed_share=listed_share, is_back=is_back):
            fields |= {"kind": "scale_in", "share": share, "x": listed_share}
            fields |= {"how": "again"} if is_back else {}
    return fields


def _toml(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)
