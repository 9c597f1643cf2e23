"""Decodes configuration and target rows of the platform's store."""

import json
from typing import Any

import attrs

from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import TargetRecord
from anvilford.platform._decoding import DECODE_ERRORS
from anvilford.platform._decoding import require_address
from anvilford.platform._decoding import require_int
from anvilford.platform._decoding import require_name
from anvilford.platform._store import StoreRow
from anvilford.routing import RequestLimits
from anvilford.routing import Route
from anvilford.routing import RoutingTable

# Table and key of the configuration, which the operator writes.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Start of the keys of the operator's rows that request the evacuation of a zone;
# the rest of the key is the zone.
EVACUATION_KEY_PREFIX = "evacuate/"
# Table in which each target keeps one row about itself.
TARGET_TABLE = "servers"

_TARGET_STATES = ("ready", "draining")


@attrs.frozen
class MalformedDocument:
    """A row whose content cannot be decoded.

    Attributes:
        key: Key of the row.
        version: Version of the row.
        reason: What is wrong with the content, for logs.
    """

    key: str
    version: int
    reason: str


def decode_configuration(row: StoreRow) -> RoutingTable | MalformedDocument:
    """Decodes the configuration row into a routing table.

    Limits that the document leaves out keep the defaults of `Limits`. One bad
    route makes the whole document malformed.
    """
    try:
        document = json.loads(row.value)
        limits = document.get("limits") or {}
        default = RequestLimits()
        return RoutingTable.build(
            int(document["version"]),
            [_decode_route(raw) for raw in document["routes"]],
            RequestLimits(
                int(limits.get("max_header_bytes", default.header_bytes)),
                int(limits.get("max_body_bytes", default.body_bytes)),
            ),
        )
    except DECODE_ERRORS as error:
        return _describe_malformed(row, error)


def _describe_malformed(row: StoreRow, error: Exception) -> MalformedDocument:
    # The text of an error may contain the whole row.
    reason = f"{type(error).__name__}: {error!s:.200}"
    return MalformedDocument(row.key, row.version, reason)


def _decode_route(raw: dict[str, Any]) -> Route:
    return Route(
        raw["host"],
        raw["path_prefix"],
        QueuePolicy(
            name=raw.get("name") or raw["path_prefix"],
            service=raw["service"],
            priority=int(raw.get("priority", 0)),
            max_attempts=max(int(raw.get("max_attempts", 1)), 1),
            stretch=float(raw.get("stretch", 1.0)),
            # Despite its name, "target_latency_ms" is the time allowed on top
            # of the run time of the job, not a target for the latency.
            allowance_ms=int(raw.get("target_latency_ms", 0)),
        ),
        needs_advice=bool(raw.get("advice")),
    )


@attrs.frozen
class EvacuationRow:
    """A row of the operator that requests the evacuation of a zone.

    Attributes:
        zone: Zone to whose targets nothing more is to be sent.
        version: Version of the row.
        fault: Why the content cannot be read; empty if it can. The evacuation
            counts nevertheless: its key says all that is needed.
    """

    zone: str
    version: int
    fault: str = ""


def decode_evacuation(
    row: StoreRow,
) -> EvacuationRow | MalformedDocument | None:
    """Decodes a row that requests the evacuation of a zone.

    Returns:
        None if the key is not that of such a row; `MalformedDocument` if the
        key names no zone.
    """
    if not row.key.startswith(EVACUATION_KEY_PREFIX):
        return None
    try:
        zone = require_name(row.key.removeprefix(EVACUATION_KEY_PREFIX))
    except DECODE_ERRORS as error:
        return _describe_malformed(row, error)
    try:
        json.loads(row.value)
    except DECODE_ERRORS as error:
        fault = _describe_malformed(row, error).reason
        return EvacuationRow(zone, row.version, fault)
    return EvacuationRow(zone, row.version)


def decode_target(row: StoreRow) -> TargetRecord | MalformedDocument:
    """Decodes the row in which a target describes itself."""
    try:
        entry = json.loads(row.value)
        if entry["state"] not in _TARGET_STATES:
            raise ValueError(
                f"state is {entry['state']!r:.100}, not 'ready' or 'draining'"
            )
        capacity = entry["capacity"]
        return TargetRecord(
            target_id=require_name(row.key),
            incarnation=require_int(entry.get("born", 0)),
            address=require_address(entry["address"]),
            zone=require_name(entry["zone"]),
            service=require_name(entry["service"]),
            draining=entry["state"] == "draining",
            cold_ms=require_int(entry.get("cold_remaining_ms", 0)),
            capacity=Resources(
                require_int(capacity["cpu"]),
                require_int(capacity["mem_mb"]),
                require_int(capacity.get("gpu", 0)),
            ),
            labels=tuple(
                require_name(label) for label in entry.get("labels", ())
            ),
            version=row.version,
        )
    except DECODE_ERRORS as error:
        return _describe_malformed(row, error)
