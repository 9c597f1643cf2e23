"""Records returned by the platform and their parsing from JSON."""

import json
import reprlib
from typing import Any

import attrs

from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState

# The platform removes a VM that is gone from its list; entries derive the state
# GONE from its absence.
_LISTED_STATES = (VmState.LIVE, VmState.LEAVING)


@attrs.frozen
class Row:
    """One row of the platform's table.

    Attributes:
        key: Key of the row.
        version: Number of writes to the row; the platform increments it.
        value: Value of the row, as decoded JSON.
    """

    key: str
    version: int
    value: Any


@attrs.frozen
class VmList:
    """The platform's list of VMs, which may be older than their real state.

    Attributes:
        revision: Number that the platform increments when the list changes.
        vms: Live and leaving VMs.
    """

    revision: int
    vms: tuple[VmInfo, ...]


def parse_row(key: str, body: bytes) -> Row:
    """Parses the response to a read of a row.

    Args:
        key: Key of the row.
        body: JSON text.

    Raises:
        ValueError: The body is not a JSON object with a valid version.
    """
    document = parse_object(body)
    return Row(key, parse_version(document), document.get("value"))


def parse_version(document: dict[str, Any]) -> int:
    """Returns the version of a row from its JSON object.

    Raises:
        ValueError: The version is missing or not a non-negative integer.
    """
    version = document.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise ValueError(
            f"version is {reprlib.repr(version)}; expected an integer of at "
            "least 0"
        )
    return version


def parse_vm_list(body: bytes) -> VmList:
    """Parses the VM list.

    One malformed item makes the whole list invalid, because a list without
    that item would report its VM as removed.

    Raises:
        ValueError: The body or one of its items is malformed.
    """
    document = parse_object(body)
    revision = document.get("revision")
    entries = document.get("vms")
    if not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError(
            "VM list needs an integer revision and a list vms; found "
            f"{type(revision).__name__} and {type(entries).__name__}"
        )
    return VmList(revision, tuple(_parse_vm(entry) for entry in entries))


def parse_object(body: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Raises:
        ValueError: The body is not JSON, or not an object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise ValueError(
            f"body of {len(body)} bytes is not valid JSON"
        ) from None
    if not isinstance(document, dict):
        raise ValueError(
            f"body is a JSON {type(document).__name__}; expected an object"
        )
    return document


def _parse_vm(entry: Any) -> VmInfo:
    if not isinstance(entry, dict):
        raise ValueError(f"VM is {reprlib.repr(entry)}; expected an object")
    names = ("id", "role", "zone", "address", "state")
    texts = [entry.get(name) for name in names]
    texts.append(entry.get("service") or "")
    if not all(isinstance(text, str) for text in texts):
        raise ValueError(
            f"VM {reprlib.repr(entry.get('id'))} has a value that is not a "
            "string; expected strings in id, role, zone, address, state and "
            "service"
        )
    vm_id, role, zone, address, state, service = texts
    listed = {state.name.lower(): state for state in _LISTED_STATES}
    roles = {role.name.lower(): role for role in VmRole}
    host, _, port = address.rpartition(":")
    if not (vm_id and zone and host and port.isascii() and port.isdigit()):
        raise ValueError(
            f"VM has id {reprlib.repr(vm_id)}, zone {reprlib.repr(zone)} and "
            f"address {reprlib.repr(address)}; expected an id, a zone and an "
            "address IP:port"
        )
    if role not in roles or state not in listed:
        raise ValueError(
            f"VM {reprlib.repr(vm_id)} has role {reprlib.repr(role)} and state "
            f"{reprlib.repr(state)}; expected role {' or '.join(roles)} and "
            f"state {' or '.join(listed)}"
        )
    return VmInfo(vm_id, roles[role], zone, address, service, listed[state])
