"""Division of a target's connections and slots among entries."""

import hashlib
from collections.abc import Mapping

import attrs


@attrs.frozen
class ConnectionSplit:
    """Static division of a target's connections among entries.

    The division uses only configured values, not the current membership. So the
    entries together stay within the target's limit even while they disagree on
    the membership.

    Attributes:
        home_connections: Connections for all entries in the target's zone.
        remote_connections: Connections for all entries in other zones.
        entries_per_zone: Maximum number of entry processes in one zone.
        remote_entries: Maximum number of entry processes in all other zones
            together.
    """

    home_connections: int = 48
    remote_connections: int = 16
    entries_per_zone: int = 4
    remote_entries: int = 16

    def limit(self, is_home: bool) -> int:
        """Returns how many connections one entry may open to one target.

        Args:
            is_home: Whether the entry is in the zone of the target.
        """
        if is_home:
            return self.home_connections // self.entries_per_zone
        return self.remote_connections // self.remote_entries


def slot_share(
    slots: int, weights: Mapping[str, float], entry: str, target: str
) -> int:
    """Computes one entry's share of a target's slots.

    The slots are divided among the live entries of the target's zone in
    proportion to their weights, by the largest-remainder method. A hash of the
    target and the entry breaks ties, so that the remaining slots of different
    targets go to different entries.

    Args:
        slots: Slots of the target.
        weights: Weight of each live entry of the zone, by incarnation token.
        entry: Incarnation token of the entry whose share is computed.
        target: VM id of the target.

    Returns:
        Number of slots; the shares of all entries add up to `slots`.
    """
    total = sum(weights.values())
    exact_shares = {token: slots * w / total for token, w in weights.items()}
    shares = {token: int(value) for token, value in exact_shares.items()}
    remaining_slots = slots - sum(shares.values())
    ranked = sorted(
        weights,
        key=lambda token: (
            -(exact_shares[token] - shares[token]),
            _tie_break_key(target, token),
        ),
    )
    return shares[entry] + (1 if entry in ranked[:remaining_slots] else 0)


def _tie_break_key(target: str, token: str) -> bytes:
    # CRC-32 is unsuitable: it is linear, so the same entry would lose the tie
    # for the remaining slots of every target.
    return hashlib.blake2b(
        f"{target}\0{token}".encode(), digest_size=8
    ).digest()
