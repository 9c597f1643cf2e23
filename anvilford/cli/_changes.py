"""Writes configuration changes and waits until every VM confirms them."""

import argparse
from typing import Any

import attrs

from anvilford.cli._connection import connect
from anvilford.cli._connection import Connection
from anvilford.cli._connection import Reply
from anvilford.cli._context import CommandError
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import format_age
from anvilford.cli._output import format_table

POLL_PERIOD_S = 0.5

# Entries poll the row of the configuration every second. The remaining time
# allows for slow polls and for the gossip that reports the version of each VM.
DEFAULT_WAIT_S = 10.0


@attrs.frozen
class Confirmation:
    """State of the VMs after a change, as far as entries reported it.

    Attributes:
        version: Version of the accepted change.
        vms: VMs in the form of `/v1/status`, sorted by id. If several entries
            report a VM, the report with the highest version is kept.
        newest_configuration: Configuration with the highest version that an
            entry reports as in force; empty if no entry has answered.
    """

    version: int
    vms: tuple[dict[str, Any], ...]
    newest_configuration: dict[str, Any]

    @property
    def unconfirmed(self) -> list[str]:
        """Ids of the VMs that have not reported `version` or a later one.

        A VM that confirmed the change and has since become unreachable remains
        confirmed, because the configuration version of a VM never decreases.
        """
        return [
            vm["vm_id"]
            for vm in self.vms
            if vm["configuration_version"] < self.version
        ]


def use_preset(
    arguments: argparse.Namespace, session: Session
) -> CommandResult:
    """Runs `anvilctl preset use`."""
    connection = connect(arguments, session)
    body = {"preset": arguments.preset}
    return write_change(connection, arguments, "POST", "/v1/preset", body, {})


def write_change(
    connection: Connection,
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> CommandResult:
    """Writes a change and waits until every VM has confirmed it.

    The change is applied at most once, because repeated requests carry the
    same operation id.

    Args:
        connection: Connection to the operators' listeners.
        arguments: Parsed command line with `wait`, `require_all` and
            `operation_id`.
        method: HTTP method of the change.
        path: Path of the change.
        body: JSON object without the operation id.
        headers: Further headers of the request.

    Returns:
        Result with exit code 3 if a VM has not confirmed within `wait` seconds.

    Raises:
        CommandError: The change was not accepted, or it is not known whether
            it was.
    """
    session = connection.session
    operation_id = arguments.operation_id or session.context.new_operation_id()
    if arguments.require_all:
        _require_all_reachable(connection.read("/v1/status"))
    accepted = connection.write(
        method, path, body | {"operation_id": operation_id}, headers
    )
    confirmation = _wait_for_confirmation(
        connection, accepted["version"], arguments.wait
    )
    return _format_result(accepted, confirmation)


def _require_all_reachable(status: dict[str, Any]) -> None:
    missing = [vm["vm_id"] for vm in status["vms"] if not vm["reachable"]]
    if missing:
        raise CommandError(
            ExitCode.REFUSED,
            "vms_unreachable",
            f"VMs not reachable: {', '.join(missing)}. Nothing was written, "
            "because --require-all was given.",
            vms=missing,
        )


def _wait_for_confirmation(
    connection: Connection, version: int, wait: float
) -> Confirmation:
    context = connection.session.context
    limit = context.monotonic() + wait
    confirmation = Confirmation(version, (), {})
    while True:
        confirmation = _poll_status(connection, confirmation)
        vms, missing = confirmation.vms, confirmation.unconfirmed
        connection.session.progress.message = (
            f"version {version} is in force on {len(vms) - len(missing)} of "
            f"{len(vms)} VMs"
        )
        if vms and not missing:
            return confirmation
        remaining = limit - context.monotonic()
        if remaining <= 0:
            return confirmation
        context.sleep(min(POLL_PERIOD_S, remaining))


def _poll_status(connection: Connection, last: Confirmation) -> Confirmation:
    """Merges the status that each address reports.

    Asks every address, because an entry in a zone that is cut off from the
    others knows only the versions of the VMs in its own zone.

    Args:
        connection: Connection to the operators' listeners.
        last: Previous confirmation; returned unchanged if no address answers.
    """
    replies = [
        connection.send(address, "GET", "/v1/status")
        for address in connection.addresses
    ]
    views = [
        r.body for r in replies if isinstance(r, Reply) and r.status == 200
    ]
    if not views:
        return last
    vms: dict[str, dict[str, Any]] = {}
    for view in views:
        for vm in view["vms"]:
            known = vms.get(vm["vm_id"], vm)
            vms[vm["vm_id"]] = max(
                known, vm, key=lambda v: v["configuration_version"]
            )
    newest = max(
        (view["configuration"] for view in views), key=lambda c: c["version"]
    )
    ordered = tuple(vms[vm_id] for vm_id in sorted(vms))
    return Confirmation(last.version, ordered, newest)


def _format_result(
    accepted: dict[str, Any], confirmation: Confirmation
) -> CommandResult:
    missing = confirmation.unconfirmed
    everywhere = bool(confirmation.vms) and not missing
    value = {
        "accepted": accepted,
        "in_force_everywhere": everywhere,
        "unconfirmed": missing,
        "vms": list(confirmation.vms),
    }
    lines = [
        f"Accepted as version {accepted['version']}, preset "
        f"{accepted['preset']}, by {accepted['author']} (operation "
        f"{accepted['operation']})."
    ]
    newer = confirmation.newest_configuration
    if newer and newer["version"] > accepted["version"]:
        lines.append(
            f"Replaced since by version {newer['version']}, preset "
            f"{newer['preset']}, by {newer['author']}."
        )
    if confirmation.vms:
        lines.append(_format_vm_table(confirmation))
        count = len(confirmation.vms)
        lines.append(f"In force on {count - len(missing)} of {count} VMs.")
    else:
        lines.append("No entry answered which VMs have the change in force.")
    if missing:
        lines.append(f"Not confirmed: {', '.join(missing)}.")
    code = ExitCode.DONE if everywhere else ExitCode.NOT_IN_FORCE
    return CommandResult(value, "\n".join(lines), code)


def _format_vm_table(confirmation: Confirmation) -> str:
    missing = set(confirmation.unconfirmed)
    rows = []
    for vm in confirmation.vms:
        remark = "confirmed"
        if vm["vm_id"] in missing:
            remark = "not confirmed"
            if not vm["reachable"]:
                heard = format_age(vm["heartbeat_age_ms"])
                remark += f", not reachable (last heard: {heard})"
        rows.append(vm | {"remark": remark})
    columns = {
        "vm_id": "VM",
        "zone": "ZONE",
        "address": "ADDRESS",
        "configuration_version": "IN FORCE",
        "remark": "STATE",
    }
    return format_table(columns, rows)
