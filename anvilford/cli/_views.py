"""Commands that show the state of an entry, and drain or resume targets."""

import argparse
import json
from collections.abc import Mapping
from typing import Any

from anvilford.cli._connection import connect
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import format_age
from anvilford.cli._output import format_table


def status(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl status`."""
    value = connect(arguments, session).read("/v1/status")
    entry, row = value["entry"], value["configuration"]
    state = "draining" if entry["draining"] else "ready"
    if not entry["ready"]:
        state = "not ready"
    in_force = "none yet"
    if row["version"]:
        in_force = (
            f"version {row['version']}, preset {row['preset']}, "
            f"by {row['author']}"
        )
    store = "reachable" if value["store"]["reachable"] else "NOT reachable"
    lines = [
        f"Entry {entry['address']} in {entry['zone']}: {state}",
        f"Configuration: {in_force}",
        f"Store: {store}",
        format_table(
            {
                "vm_id": "VM",
                "zone": "ZONE",
                "address": "ADDRESS",
                "heard": "HEARD",
                "configuration_version": "VERSION",
                "reachable": "REACHABLE",
                "draining": "DRAINING",
            },
            [
                vm | {"heard": format_age(vm["heartbeat_age_ms"])}
                for vm in value["vms"]
            ],
        ),
    ]
    if "placement" in value:
        lines[3:3] = [
            _format_placement(value["placement"]),
            *_format_interference(value["placement"]),
        ]
    return CommandResult(value, "\n".join(lines))


def _format_placement(placement: Mapping[str, Any]) -> str:
    """Returns the status line about the leader that places jobs.

    Args:
        placement: Field `placement` of the status, which only entries of
            `anvilford.node` report.
    """
    leader = placement["leader"] or "none known"
    scope = " for its zone only" if placement["is_partial"] else ""
    waiting = sum(placement["jobs_waiting"].values())
    return (
        f"Leader: {leader}{scope}, term {placement['term']}; "
        f"{placement['targets_listed']} targets, {waiting} jobs waiting"
    )


def _format_interference(placement: Mapping[str, Any]) -> list[str]:
    """Returns one status line for each kind of task that others slow down.

    Args:
        placement: Field `placement` of the status. Only the leader knows such
            tasks, and entries of earlier releases do not report them.
    """
    return [
        f"Slowed down: {pair['kind']} by {pair['slowed_by']}, "
        f"{pair['ratio']:.2f} times, known for {format_age(pair['known_ms'])}"
        for pair in placement.get("interfering_tasks") or []
    ]


def targets(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl targets`."""
    value = connect(arguments, session).read("/v1/targets")
    columns = {
        "vm_id": "VM",
        "zone": "ZONE",
        "address": "ADDRESS",
        "service": "SERVICE",
        "state": "STATE",
        "drained": "DRAINED",
        "ejected": "EJECTED",
        "running": "RUNNING",
        "slots": "SLOTS",
    }
    return CommandResult(value, format_table(columns, value["targets"]))


def submissions(
    arguments: argparse.Namespace, session: Session
) -> CommandResult:
    """Runs `anvilctl submissions`."""
    path = f"/v1/submissions?limit={arguments.limit}"
    value = connect(arguments, session).read(path)
    rows = [
        row | {"age": format_age(row["age_ms"], "-")}
        for row in value["submissions"]
    ]
    columns = {
        "id": "ID",
        "caller": "CALLER",
        "service": "SERVICE",
        "state": "STATE",
        "tasks": "TASKS",
        "age": "AGE",
    }
    text = format_table(columns, rows)
    return CommandResult(
        value, f"{text}\n{len(rows)} of {value['total']} shown"
    )


def mark_target(
    arguments: argparse.Namespace, session: Session
) -> CommandResult:
    """Runs `anvilctl target drain|resume`."""
    path = f"/v1/targets/{arguments.vm_id}/{arguments.action}"
    value = connect(arguments, session).write("POST", path)
    effect = "gets no new work" if value["drained"] else "may get new work"
    return CommandResult(value, f"Target {value['vm_id']} {effect}.")


def trace(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl trace`."""
    path = f"/v1/traces/{arguments.trace_id}"
    value = connect(arguments, session).read(path)
    rows = [
        span
        | {
            "attributes": " ".join(
                f"{key}={json.dumps(item)}"
                for key, item in sorted(span["attributes"].items())
            )
        }
        for span in value["spans"]
    ]
    columns = {
        "start_ms": "START MS",
        "duration_ms": "DURATION MS",
        "name": "SPAN",
        "attributes": "ATTRIBUTES",
    }
    return CommandResult(value, format_table(columns, rows))
