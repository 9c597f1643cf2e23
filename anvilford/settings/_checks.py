"""Checks across several keys of a settings file."""

import collections
import ipaddress
import itertools
from collections.abc import Iterator

from anvilford.settings._failures import InvalidCombination
from anvilford.settings._failures import InvalidValue
from anvilford.settings._failures import SettingsFailure
from anvilford.settings._schema import parse_address
from anvilford.settings._settings import Settings

TOKEN_MASK = "***"

# Two lost gossip rounds must not make a live peer suspect.
MIN_GOSSIP_ROUNDS_BEFORE_SUSPECT = 3

# Targets accept 64 connections and reset those above.
MAX_CONNECTIONS_PER_TARGET = 64


def check_combinations(settings: Settings) -> Iterator[SettingsFailure]:
    """Yields a failure for each rule between keys that is broken."""
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
                    path, tuple(others), found, "names that differ"
                )
    for path, *others in by_token.values():
        if others:
            found = dict.fromkeys((path, *others), TOKEN_MASK)
            yield InvalidCombination(
                path, tuple(others), found, "tokens that all differ"
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
            peers.suspect_ms
            >= MIN_GOSSIP_ROUNDS_BEFORE_SUSPECT * peers.gossip_ms,
            ("peers/suspect_ms", "peers/gossip_ms"),
            f"suspect_ms at least {MIN_GOSSIP_ROUNDS_BEFORE_SUSPECT} * gossip_ms",
        ),
        (
            connections <= MAX_CONNECTIONS_PER_TARGET,
            ("targets/connections_home", "targets/connections_remote"),
            f"a sum of at most {MAX_CONNECTIONS_PER_TARGET}",
        ),
        (
            targets.connections_home >= targets.entries_per_zone,
            ("targets/connections_home", "targets/entries_per_zone"),
            "at least one connection for each entry of the zone",
        ),
        (
            # 0 turns the use of targets in other zones off.
            targets.connections_remote == 0
            or targets.connections_remote >= targets.remote_entries,
            ("targets/connections_remote", "targets/remote_entries"),
            "0 or at least one connection for each remote entry",
        ),
        (
            targets.threads >= targets.slots,
            ("targets/threads", "targets/slots"),
            "at least as many threads as slots of one target",
        ),
        (
            # A smaller store would evict an answer as it is recorded.
            settings.retention.bytes >= targets.response_bytes,
            ("retention/bytes", "targets/response_bytes"),
            "retention bytes not below the largest response",
        ),
    )


def _value_at_path(settings: Settings, path: str) -> int:
    group, key = path.split("/")
    return getattr(getattr(settings, group), key)
