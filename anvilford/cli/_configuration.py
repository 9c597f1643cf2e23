"""Commands of `anvilctl config`: show, diff, apply and history."""

import argparse
import json
from collections.abc import Iterator
from typing import Any

from anvilford import configuration
from anvilford.cli._changes import write_change
from anvilford.cli._connection import connect
from anvilford.cli._connection import read_json
from anvilford.cli._context import CommandError
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import format_table

_ABSENT = object()


def show(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl config show`."""
    value = connect(arguments, session).read("/v1/configuration")
    document = json.dumps(value["document"], indent=2, sort_keys=True)
    heading = f"Version {value['version']} by {value['author']}:"
    return CommandResult(value, f"{heading}\n{document}")


def history(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl config history`."""
    value = connect(arguments, session).read("/v1/configuration/history")
    columns = {
        "version": "VERSION",
        "preset": "PRESET",
        "author": "AUTHOR",
        "operation": "OPERATION",
    }
    return CommandResult(value, format_table(columns, value["history"]))


def diff(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl config diff`."""
    document = _read_document(arguments.file)
    in_force = connect(arguments, session).read("/v1/configuration")
    differences = list(
        _differences(in_force["document"], _encode(document), "")
    )
    value = {"version": in_force["version"], "differences": differences}
    lines = [_describe_difference(difference) for difference in differences]
    if not lines:
        lines = [f"Equal to version {in_force['version']}."]
    return CommandResult(value, "\n".join(lines))


def apply(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl config apply`."""
    document = _read_document(arguments.file)
    connection = connect(arguments, session)
    version = arguments.expected_version
    if version is None:
        version = connection.read("/v1/configuration")["version"]
    return write_change(
        connection,
        arguments,
        "PUT",
        "/v1/configuration",
        {"document": _encode(document)},
        {"If-Match": f'"{version}"'},
    )


def _read_document(path: str) -> configuration.Document:
    parsed = configuration.parse_document(read_json(path))
    if parsed.is_ok():
        return parsed.ok
    lines = [
        f"  {failure.path or '(top level)'}: must be {failure.allowed}, "
        f"found {json.dumps(failure.found)}"
        for failure in parsed.error
    ]
    raise CommandError(
        ExitCode.REFUSED,
        "invalid_document",
        "\n".join([f"{path} is not a valid configuration document:", *lines]),
    )


def _encode(document: configuration.Document) -> dict[str, Any]:
    return configuration.encode_document(document)


def _differences(
    in_force: Any, file: Any, path: str
) -> Iterator[dict[str, Any]]:
    """Yields the paths at which two documents differ, with both values.

    Args:
        in_force: Value in the configuration in force.
        file: Value in the file.
        path: Path of both values, with "/" between keys; "" at the top level.

    Yields:
        Objects with `path`, `in_force` and `file`. The key of a side on which
        the value is absent is left out.
    """
    if isinstance(in_force, dict) and isinstance(file, dict):
        for key in sorted(in_force.keys() | file.keys()):
            yield from _differences(
                in_force.get(key, _ABSENT),
                file.get(key, _ABSENT),
                f"{path}/{key}" if path else key,
            )
    elif in_force != file:
        sides = {"in_force": in_force, "file": file}
        present = {k: v for k, v in sides.items() if v is not _ABSENT}
        yield {"path": path, **present}


def _describe_difference(difference: dict[str, Any]) -> str:
    path = difference["path"]
    if "in_force" not in difference:
        return f"+ {path}: {json.dumps(difference['file'])}"
    before = json.dumps(difference["in_force"])
    if "file" not in difference:
        return f"- {path}: {before}"
    return f"~ {path}: {before} -> {json.dumps(difference['file'])}"
