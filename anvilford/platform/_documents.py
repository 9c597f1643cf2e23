"""Decodes what the operator and the targets keep in the store."""

import json
from typing import Any

import attrs

from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import TargetRecord
from anvilford.platform._store import StoreRow
from anvilford.routing import RequestLimits
from anvilford.routing import Route
from anvilford.routing import RoutingTable

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGET_TABLE = "servers"

_TARGET_STATES = ("ready", "draining")


@attrs.frozen
class MalformedDocument:
    """A row that cannot be used.

    Attributes:
        key: Key of the row.
        version: Its version.
        reason: What is wrong.
    """

    key: str
    version: int
    reason: str


def decode_configuration(row: StoreRow) -> RoutingTable | MalformedDocument:
    """Decodes the operator's configuration."""
    try:
        document = json.loads(row.value)
        limits = document.get("limits") or {}
        default = RequestLimits()
        return RoutingTable.build(
            int(document["version"]),
            [_route(raw) for raw in document["routes"]],
            RequestLimits(
                int(limits.get("max_header_bytes", default.header_bytes)),
                int(limits.get("max_body_bytes", default.body_bytes)),
            ),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return MalformedDocument(row.key, row.version, repr(error))


def _route(raw: dict[str, Any]) -> Route:
    return Route(
        raw["host"],
        raw["path_prefix"],
        QueuePolicy(
            name=raw.get("name") or raw["path_prefix"],
            service=raw["service"],
            priority=int(raw.get("priority", 0)),
            max_attempts=max(int(raw.get("max_attempts", 1)), 1),
            stretch=float(raw.get("stretch", 1.0)),
            # Not the latency that is aimed at: time on top of the work.
            allowance_ms=int(raw.get("target_latency_ms", 0)),
        ),
        needs_advice=bool(raw.get("advice")),
    )


def decode_target(row: StoreRow) -> TargetRecord | MalformedDocument:
    """Decodes what a target says of itself."""
    try:
        entry = json.loads(row.value)
        if entry["state"] not in _TARGET_STATES:
            raise ValueError(f"state {entry['state']!r}")
        capacity = entry["capacity"]
        address, zone, service = (
            _text(entry[name]) for name in ("address", "zone", "service")
        )
        return TargetRecord(
            target_id=row.key,
            incarnation=_whole(entry.get("born", 0)),
            address=address,
            zone=zone,
            service=service,
            draining=entry["state"] == "draining",
            cold_ms=_whole(entry.get("cold_remaining_ms", 0)),
            capacity=Resources(
                _whole(capacity["cpu"]),
                _whole(capacity["mem_mb"]),
                _whole(capacity.get("gpu", 0)),
            ),
            labels=tuple(_text(label) for label in entry.get("labels", ())),
            version=row.version,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return MalformedDocument(row.key, row.version, repr(error))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not a whole number: {value!r}")
    return value
