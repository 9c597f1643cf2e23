"""Links of the entries of a site, which can be cut."""

import collections
import enum
import json
import os
from collections.abc import Iterable

import attrs

from standins.site import EntryProcess
from standins.site import LoopbackSite

STORE = "store"


class How(enum.Enum):
    """What happens to the connections of a link that is cut.

    Attributes:
        RESET: They are reset, and none can be opened.
        DROP: They hang: bytes are neither delivered nor is the connection
            reset, and none can be opened.
        ONE_WAY_OUT: The same for bytes from the side that is cut off only. As
            on a network, none can be opened in either direction.
        ONE_WAY_IN: The same for bytes to the side that is cut off.
        LATE: They hang, and the bytes arrive at the end of the cut, also those
            of connections that the sender has closed meanwhile.
        LATE_IN: The same for bytes to the side that is cut off only.
        REFUSED: They are reset, and new ones are refused at once.
        UNAVAILABLE: For the store only. They are reset, and new ones lead to
            one that answers every request with status 503.
    """

    RESET = "reset"
    DROP = "drop"
    ONE_WAY_OUT = "one_way out"
    ONE_WAY_IN = "one_way in"
    LATE = "late"
    LATE_IN = "late in"
    REFUSED = "refused"
    UNAVAILABLE = "503"

    @property
    def held(self) -> frozenset[str]:
        """Directions that the side that is cut off does not have."""
        match self:
            case How.ONE_WAY_OUT:
                return frozenset({"out"})
            case How.ONE_WAY_IN | How.LATE_IN:
                return frozenset({"in"})
        return frozenset({"in", "out"})


# Cuts that end open connections.
_ENDING = (How.RESET, How.REFUSED, How.UNAVAILABLE)


@attrs.frozen(eq=False)
class LinkCut:
    """Cuts all links between two sets of machines.

    Attributes:
        inside: Names of the entries and targets that are cut off, or `STORE`.
        outside: Names of the machines from which they are.
        how: What happens to the connections.
    """

    inside: frozenset[str]
    outside: frozenset[str]
    how: How

    def held_directions(self, entry: str, other: str) -> frozenset[str]:
        """Returns the directions that an entry does not have to a machine."""
        if entry in self.inside and other in self.outside:
            return self.how.held
        if entry in self.outside and other in self.inside:
            opposite = {"in": "out", "out": "in"}
            return frozenset(opposite[d] for d in self.how.held)
        return frozenset()


class SiteLinks:
    """Cuts and delays the outgoing connections of the entries of a site.

    Both sides of a cut are told of it, so that neither reaches the other one.
    Cuts may overlap; a reset goes before a refusal, then bytes that are held
    back, and status 503 comes last. An entry hears of a cut
    within some 10 ms, or when it goes on after a suspension.

    Attributes:
        site: The site, not entered yet; its entries run `testkit.cuts._entry`.
        delay_s: Mean delay of answers from other zones, in seconds.
        cuts: Cuts in force.
        unavailable_address: Address of a store that answers with status 503;
            needed for cuts of that kind only.
    """

    def __init__(self, site: LoopbackSite, delay_s: float = 0.0):
        self.site = site
        self.delay_s = delay_s
        self.cuts: list[LinkCut] = []
        self.unavailable_address = ""
        site.entry_module = "testkit.cuts._entry"
        site.before_start = self.heal

    def heal(self, cut: LinkCut | None = None) -> None:
        """Ends a cut, or all of them."""
        if cut is None:
            self.cuts.clear()
        else:
            self.cuts.remove(cut)
        self._write()

    def cut_entry(
        self, name: str, how: How = How.RESET, with_store: bool = True
    ) -> LinkCut:
        """Cuts an entry off from the other entries and from the store."""
        return self.cut_entries([name], how, with_store)

    def cut_entry_near(self, name: str, how: How = How.RESET) -> LinkCut:
        """Cuts an entry off from all machines but the targets of its zone."""
        zone = self.zone_of(self.site.entries[name])
        near = {t.name for t in self.site.targets if t.zone == zone}
        return self.cut({name}, set(self._addresses()) - near - {name}, how)

    def cut_entries(
        self, names: Iterable[str], how: How, with_store: bool
    ) -> LinkCut:
        """Cuts entries off from the other entries, but not from targets.

        Args:
            names: Names of the entries.
            how: What happens to the connections.
            with_store: Whether they are cut off from the store, too.
        """
        inside = frozenset(names)
        outside = set(self.site.entries) - inside
        if with_store:
            outside.add(STORE)
        return self.cut(inside, outside, how)

    def cut_zone(self, zone: str, how: How = How.RESET) -> LinkCut:
        """Cuts a zone off from the others and from the store.

        Callers still reach its entries.
        """
        inside = {
            *self.entries_of(zone),
            *(t.name for t in self.site.targets if t.zone == zone),
        }
        return self.cut(inside, None, how)

    def is_cut_off(self, name: str, other: str) -> bool:
        """Returns whether a machine does not reach another one."""
        return any(cut.held_directions(name, other) for cut in self.cuts)

    def entries_of(self, zone: str) -> list[str]:
        """Returns the names of the entries of a zone.

        Raises:
            ValueError: There are none.
        """
        names = [
            entry.name
            for entry in self.site.entries.values()
            if self.zone_of(entry) == zone
        ]
        if not names:
            raise ValueError(f"zone {zone!r} has no entries")
        return names

    def zone_of(self, entry: EntryProcess) -> str:
        """Returns the zone of an entry."""
        return self.site.entry_zones[list(self.site.entries).index(entry.name)]

    def cut(
        self, inside: Iterable[str], outside: Iterable[str] | None, how: How
    ) -> LinkCut:
        """Cuts machines off from others, or from all others if None."""
        inside = frozenset(inside)
        if outside is None:
            outside = set(self._addresses()) - inside
        cut = LinkCut(inside, frozenset(outside), how)
        self.cuts.append(cut)
        self._write()
        return cut

    def _write(self) -> None:
        """Writes what each entry cannot reach, and the delays of the rest."""
        addresses = self._addresses()
        zones = {target.address: target.zone for target in self.site.targets}
        for entry in self.site.entries.values():
            zones[entry.peer_address] = self.zone_of(entry)
        for name, entry in self.site.entries.items():
            links = self._blocked_links(name, addresses)
            links["delays"] = {
                address: self.delay_s
                for address, zone in zones.items()
                if self.delay_s and zone != self.zone_of(entry)
            }
            path = entry.settings_path.with_suffix(".links")
            # Replaced as a whole: the entry may read it at any moment.
            temporary = path.with_suffix(".new")
            temporary.write_text(json.dumps(links), encoding="utf-8")
            os.replace(temporary, path)

    def _blocked_links(self, entry: str, addresses: dict[str, str]) -> dict:
        """Returns the addresses that an entry cannot reach, by how."""
        held: dict[str, set[str]] = collections.defaultdict(set)
        others: dict[How, set[str]] = collections.defaultdict(set)
        late: set[str] = set()
        for cut in self.cuts:
            for other, address in addresses.items():
                directions = cut.held_directions(entry, other)
                if directions and cut.how in _ENDING:
                    others[cut.how].add(address)
                elif directions:
                    held[address] |= directions
                    if cut.how in (How.LATE, How.LATE_IN):
                        late.add(address)
        reset = others[How.RESET]
        refused = others[How.REFUSED] - reset
        replaced = others[How.UNAVAILABLE] - reset - refused - held.keys()
        return {
            "reset": sorted(reset),
            "refused": sorted(refused),
            "replaced": dict.fromkeys(
                sorted(replaced), self.unavailable_address
            ),
            "held": {
                a: sorted(held[a]) for a in held if a not in reset | refused
            },
            "late": sorted(late),
        }

    def _addresses(self) -> dict[str, str]:
        """Returns the addresses of all machines by name."""
        return {
            STORE: self.site.store_address,
            **{target.name: target.address for target in self.site.targets},
            **{e.name: e.peer_address for e in self.site.entries.values()},
        }
