"""How many connections and slots of a target one entry may use."""

import hashlib
from collections.abc import Mapping

import attrs


@attrs.frozen
class ConnectionSplit:
    """Static split of a target's connections among entries.

    The split does not depend on the view of the membership, so the sum over
    all entries stays within the target's limit even while views differ.

    Attributes:
        home_connections: Connections for entries of the target's own zone.
        remote_connections: Connections for all other entries.
        entries_per_zone: Most entry processes in one zone.
        remote_entries: Most entry processes in all other zones.
    """

    home_connections: int = 48
    remote_connections: int = 16
    entries_per_zone: int = 4
    remote_entries: int = 16

    def limit(self, is_home: bool) -> int:
        """Connections that one entry may open to one target."""
        if is_home:
            return self.home_connections // self.entries_per_zone
        return self.remote_connections // self.remote_entries


def slot_share(
    slots: int, weights: Mapping[str, float], entry: str, target: str
) -> int:
    """Splits a target's slots among the live entries of its zone by weight.

    Whole slots go by the largest remainder. Ties rotate with the target, so
    that the spare slots of different targets go to different entries.

    Args:
        slots: Slots of the target.
        weights: Relative size of each live entry of the zone, by token.
        entry: Token of the entry whose share is asked for.
        target: VM id of the target.

    Returns:
        Number of slots; the shares of all entries add up to `slots`.
    """
    total = sum(weights.values())
    exact = {token: slots * w / total for token, w in weights.items()}
    shares = {token: int(value) for token, value in exact.items()}
    spare = slots - sum(shares.values())
    ranked = sorted(
        weights,
        key=lambda token: (
            -(exact[token] - shares[token]),
            _rank(target, token),
        ),
    )
    return shares[entry] + (1 if entry in ranked[:spare] else 0)


def _rank(target: str, token: str) -> bytes:
    # CRC-32 is linear: with it the same entry lost the tie at every target.
    return hashlib.blake2b(
        f"{target}\0{token}".encode(), digest_size=8
    ).digest()
