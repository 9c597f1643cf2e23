"""Conditional writes whose outcome is determined even if a response is lost."""

import asyncio
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.tables._client import PlatformClient
from anvilford.tables._failures import PlatformFailure
from anvilford.tables._failures import PlatformUnavailable
from anvilford.tables._failures import VersionConflict
from anvilford.tables._records import Row

# Pause between attempts to determine the outcome of a write. The platform
# responds in about 1 ms, and most transient interruptions last longer than this
# pause.
_RETRY_PAUSE_S = 0.1


@attrs.frozen
class OperationAccepted:
    """The write took effect.

    Attributes:
        version: Version of the row that the write created.
        current_version: Latest version that was read; higher than `version` if
            a later write has replaced the row.
    """

    version: int
    current_version: int


@attrs.frozen
class OperationConflict:
    """Another write came first; this one has no effect, now or later.

    Attributes:
        version: Version that the other write created, or the latest version if
            the history no longer contains that write.
        author: Author of that version; empty if it is not recorded.
        current: Latest row, or None if there is no row with this key.
    """

    version: int
    author: str
    current: Row | None


@attrs.frozen
class NotWritten:
    """The platform could not be reached; the write has no effect.

    Attributes:
        failure: Failure of the last call.
    """

    failure: PlatformFailure


@attrs.frozen
class Unresolved:
    """The write may have taken effect, or may still do so.

    Attributes:
        failure: Failure of the last call; None if the row was read but its
            history no longer contains the version that this write would have
            created.
    """

    failure: PlatformFailure | None


OperationFailure = OperationConflict | NotWritten | Unresolved


async def write_with_operation_id(
    client: PlatformClient,
    key: str,
    expected_version: int,
    value: dict[str, Any],
    operation_id: str,
    max_attempts: int = 3,
) -> Result[OperationAccepted, OperationFailure]:
    """Writes a row under an operation id that identifies the write.

    If the response is lost, the row is read back. If the row still has the
    expected version, the write may still be in transit, so the same write is
    sent again: of two conditional writes on one version at most one takes
    effect, and the operation id in the history shows that it was this
    operation.

    Args:
        client: Client of the platform.
        key: Key of the row.
        expected_version: Version to replace; 0 to create the row.
        value: New value, a JSON object. Its "history" is a list of objects
            with "operation", "version" and optionally "author", newest last;
            the last one describes this write.
        operation_id: Unique id of this operation.
        max_attempts: Most times that the write is sent.

    Returns:
        The versions after the write; otherwise whether the write has no effect
        or its outcome is unknown.

    Raises:
        ValueError: The last entry of the history does not describe this write.
    """
    last = value["history"][-1]
    if (last["operation"], last["version"]) != (
        operation_id,
        expected_version + 1,
    ):
        raise ValueError(
            f"history ends with operation {last['operation']!r} and version "
            f"{last['version']}; expected {operation_id!r} and "
            f"{expected_version + 1}"
        )
    return await _write_until_resolved(
        client, key, expected_version, value, operation_id, max_attempts
    )


async def _write_until_resolved(
    client: PlatformClient,
    key: str,
    expected_version: int,
    value: dict[str, Any],
    operation_id: str,
    max_attempts: int,
) -> Result[OperationAccepted, OperationFailure]:
    may_be_written = False
    failure = None
    for attempt in range(max_attempts):
        if attempt:
            await asyncio.sleep(_RETRY_PAUSE_S)
        match await client.write_row(key, expected_version, value):
            case Result(tag="ok", ok=row):
                return Ok(OperationAccepted(row.version, row.version))
            case Result(error=VersionConflict(row)):
                return _resolve_outcome(
                    row, expected_version, operation_id, may_be_written
                )
            case Result(error=PlatformUnavailable(sent=False) as failure):
                continue
            case Result(error=failure):
                may_be_written = True
        match await client.read_row(key):
            case Result(tag="ok", ok=row):
                if _version_or_zero(row) != expected_version:
                    return _resolve_outcome(
                        row, expected_version, operation_id, True
                    )
            case Result(error=failure):
                pass
    if may_be_written:
        return Error(Unresolved(failure))
    return Error(NotWritten(failure))


def _version_or_zero(row: Row | None) -> int:
    return 0 if row is None else row.version


def _resolve_outcome(
    row: Row | None,
    expected_version: int,
    operation_id: str,
    may_be_written: bool,
) -> Result[OperationAccepted, OperationFailure]:
    """Determines the outcome of a write from a row with another version.

    Args:
        row: Row that was read, or None if there is none.
        expected_version: Version that the write would have replaced.
        operation_id: Id of the operation.
        may_be_written: True if a write was sent whose response was lost.

    Returns:
        Accepted if the history contains the operation; otherwise a conflict,
        or `Unresolved` if the history no longer shows which write came first.
    """
    history = _history_entries(row)
    for entry in history:
        if entry.get("operation") == operation_id:
            version = entry.get("version", expected_version + 1)
            return Ok(OperationAccepted(version, _version_or_zero(row)))
    same_version = [
        e for e in history if e.get("version") == expected_version + 1
    ]
    if not same_version and may_be_written:
        return Error(Unresolved(None))
    other = [*same_version, *history[-1:], {}][0]
    return Error(
        OperationConflict(
            other.get("version", _version_or_zero(row)),
            str(other.get("author", "")),
            row,
        )
    )


def _history_entries(row: Row | None) -> list[dict[str, Any]]:
    value = row.value if row is not None else None
    history = value.get("history") if isinstance(value, dict) else None
    if not isinstance(history, list):
        return []
    return [entry for entry in history if isinstance(entry, dict)]
