"""Checks of rules between several keys of a settings file."""

import collections
import ipaddress
import itertools
from collections.abc import Iterator

from anvilford.settings._failures import InvalidCombination
from anvilford.settings._failures import InvalidValue
from anvilford.settings._failures import SettingsFailure
from anvilford.settings._schema import parse_address
from anvilford.settings._settings import Settings

# Replaces a token in failures, which are logged and printed.
TOKEN_MASK = "***"

# Smallest ratio of suspect_ms to gossip_ms. At 3, two lost gossip rounds in a
# row do not make a live peer suspect.
MIN_SUSPECT_ROUNDS = 3

# A target accepts 64 connections and resets further ones.
MAX_CONNECTIONS_PER_TARGET = 64


def check_combinations(settings: Settings) -> Iterator[SettingsFailure]:
    """Yields a failure for each violated rule between keys.

    Args:
        settings: Settings whose values are each valid by themselves.
    """
    yield from _check_listen_addresses(settings)
    yield from _check_principals(settings)
    yield from _check_key_pairs(settings)


def _check_listen_addresses(settings: Settings) -> Iterator[SettingsFailure]:
    listen = settings.listen
    host, _ = parse_address(listen.peers)
    if ipaddress.ip_address(host).is_unspecified:
        yield InvalidValue(
            "listen/peers",
            listen.peers,
            "the address that peers connect to, not an unspecified address",
        )
    addresses = {
        "listen/callers": listen.callers,
        "listen/operators": listen.operators,
        "listen/peers": listen.peers,
    }
    for (path, one), (other_path, other) in itertools.combinations(
        addresses.items(), 2
    ):
        if _addresses_conflict(one, other):
            yield InvalidCombination(
                path,
                (other_path,),
                {path: one, other_path: other},
                "a different port for each listener on an IP address",
            )


def _addresses_conflict(one: str, other: str) -> bool:
    one_host, one_port = parse_address(one)
    other_host, other_port = parse_address(other)
    one_ip = ipaddress.ip_address(one_host)
    other_ip = ipaddress.ip_address(other_host)
    return one_port == other_port and (
        one_ip == other_ip or one_ip.is_unspecified or other_ip.is_unspecified
    )


def _check_principals(settings: Settings) -> Iterator[SettingsFailure]:
    by_token = collections.defaultdict(list)
    by_token[settings.peers.token].append("peers/token")
    for group in ("callers", "operators"):
        by_name = collections.defaultdict(list)
        for index, principal in enumerate(getattr(settings, group)):
            by_name[principal.name].append(f"{group}/{index}/name")
            by_token[principal.token].append(f"{group}/{index}/token")
        for name, (path, *others) in by_name.items():
            if others:
                found = dict.fromkeys((path, *others), name)
                yield InvalidCombination(
                    path,
                    tuple(others),
                    found,
                    "a different name for each caller and for each operator",
                )
    for path, *others in by_token.values():
        if others:
            found = dict.fromkeys((path, *others), TOKEN_MASK)
            yield InvalidCombination(
                path,
                tuple(others),
                found,
                "a different token for each caller, operator and peers/token",
            )


def _check_key_pairs(settings: Settings) -> Iterator[SettingsFailure]:
    for is_met, paths, allowed in _key_pair_rules(settings):
        if not is_met:
            found = {path: _value_at_path(settings, path) for path in paths}
            yield InvalidCombination(paths[0], paths[1:], found, allowed)


def _key_pair_rules(
    settings: Settings,
) -> tuple[tuple[bool, tuple[str, str], str], ...]:
    peers, targets = settings.peers, settings.targets
    connections = targets.connections_home + targets.connections_remote
    return (
        (
            peers.suspect_ms >= MIN_SUSPECT_ROUNDS * peers.gossip_ms,
            ("peers/suspect_ms", "peers/gossip_ms"),
            f"suspect_ms at least {MIN_SUSPECT_ROUNDS} * gossip_ms",
        ),
        (
            connections <= MAX_CONNECTIONS_PER_TARGET,
            ("targets/connections_home", "targets/connections_remote"),
            "connections_home + connections_remote at most "
            f"{MAX_CONNECTIONS_PER_TARGET}",
        ),
        (
            targets.connections_home >= targets.entries_per_zone,
            ("targets/connections_home", "targets/entries_per_zone"),
            "connections_home at least entries_per_zone, so that each entry of "
            "the zone has a connection",
        ),
        (
            # 0 disables the use of targets in other zones.
            targets.connections_remote == 0
            or targets.connections_remote >= targets.remote_entries,
            ("targets/connections_remote", "targets/remote_entries"),
            "connections_remote 0 or at least remote_entries, so that each "
            "remote entry has a connection",
        ),
        (
            targets.threads >= targets.slots,
            ("targets/threads", "targets/slots"),
            "threads at least slots, so that all slots of one target can be "
            "used",
        ),
        (
            # A smaller limit would evict the answer of a large response as soon
            # as it is recorded.
            settings.retention.bytes >= targets.response_bytes,
            ("retention/bytes", "targets/response_bytes"),
            "retention bytes at least targets response_bytes, so that each "
            "answer can be kept",
        ),
    )


def _value_at_path(settings: Settings, path: str) -> int:
    group, key = path.split("/")
    return getattr(getattr(settings, group), key)
