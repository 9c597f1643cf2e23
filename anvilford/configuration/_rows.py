"""Configuration row in the platform's table, with its history of changes."""

from typing import Any

import attrs
import cattrs
import jsonschema
from expression import Error
from expression import Ok
from expression import Result

from anvilford.configuration._document import Document
from anvilford.configuration._document import DocumentFailure
from anvilford.configuration._document import encode_document
from anvilford.configuration._document import parse_document
from anvilford.configuration._document import Preset

# Key of the configuration row in the platform's table.
ROW_KEY = "configuration"

# Changes kept in the history of the row. A write whose response was lost is
# found in the history only if fewer changes than this follow it before the row
# is read back.
MAX_HISTORY_ENTRIES = 64


@attrs.frozen
class HistoryEntry:
    """One change of the configuration.

    Attributes:
        version: Version of the row after the change.
        operation: Operation id, chosen by the operator's client.
        author: Name of the operator.
        preset: Preset of the document after the change.
    """

    version: int
    operation: str
    author: str
    preset: Preset


@attrs.frozen
class ConfigurationRow:
    """A valid configuration row.

    Attributes:
        version: Version of the row in the table; at least 1.
        document: The configuration document.
        operation: Operation id of the change that created this version.
        author: Name of the operator who made the change.
        history: The latest changes, newest last, including this one.
    """

    version: int
    document: Document
    operation: str
    author: str
    history: tuple[HistoryEntry, ...] = ()

    def find_operation(self, operation_id: str) -> HistoryEntry | None:
        """Finds the change made under an operation id.

        Args:
            operation_id: Id of the operation, e.g. of a write whose response
                was lost.

        Returns:
            The change, or None if the history does not contain it.
        """
        for entry in self.history:
            if entry.operation == operation_id:
                return entry
        return None


_TEXT_SCHEMA = {"type": "string", "minLength": 1, "maxLength": 128}
_VALIDATOR = jsonschema.Draft202012Validator(
    {
        "type": "object",
        "required": ["document", "operation", "author", "history"],
        "properties": {
            "operation": _TEXT_SCHEMA,
            "author": _TEXT_SCHEMA,
            "history": {
                "type": "array",
                "maxItems": MAX_HISTORY_ENTRIES,
                "items": {
                    "type": "object",
                    "required": ["version", "operation", "author", "preset"],
                    "properties": {
                        "version": {"type": "integer", "minimum": 1},
                        "operation": _TEXT_SCHEMA,
                        "author": _TEXT_SCHEMA,
                        "preset": {"enum": [p.value for p in Preset]},
                    },
                },
            },
        },
    }
)


def parse_row(
    version: int, value: Any
) -> Result[ConfigurationRow, list[DocumentFailure]]:
    """Checks and converts a row read from the table or received from a peer.

    Args:
        version: Version of the row.
        value: Value of the row, as decoded JSON.

    Returns:
        The row, or all failures found.
    """
    if version < 1:
        return Error([DocumentFailure("version", version, "at least 1")])
    failures = [
        DocumentFailure(
            "/".join(str(part) for part in error.absolute_path),
            error.instance,
            f"{error.validator} {error.validator_value}",
        )
        for error in _VALIDATOR.iter_errors(value)
    ]
    if failures:
        return Error(failures)
    document = parse_document(value["document"])
    if document.is_error():
        return Error(
            [
                attrs.evolve(f, path=f"document/{f.path}".rstrip("/"))
                for f in document.error
            ]
        )
    history = cattrs.structure(value["history"], tuple[HistoryEntry, ...])
    return Ok(
        ConfigurationRow(
            version, document.ok, value["operation"], value["author"], history
        )
    )


def encode_row(row: ConfigurationRow) -> dict[str, Any]:
    """Returns the JSON form of a row's value; its version is not included."""
    return {
        "document": encode_document(row.document),
        "operation": row.operation,
        "author": row.author,
        "history": cattrs.unstructure(list(row.history)),
    }


def next_row_value(
    current_row: ConfigurationRow | None,
    document: Document,
    operation_id: str,
    author: str,
) -> dict[str, Any]:
    """Builds the value that replaces a row.

    The value must be written conditionally on the version of `current_row`, or
    on version 0 if there is none. Each write increments the version by one, so
    the history can contain the new version before the write.

    Args:
        current_row: The row to replace, or None to create it.
        document: New document.
        operation_id: Id of the operation; the same for a repeated attempt.
        author: Name of the operator.

    Returns:
        JSON object with the keys document, operation, author and history.
    """
    version = current_row.version + 1 if current_row else 1
    earlier = current_row.history if current_row else ()
    entry = HistoryEntry(version, operation_id, author, document.preset)
    history = (*earlier, entry)[-MAX_HISTORY_ENTRIES:]
    return encode_row(
        ConfigurationRow(version, document, operation_id, author, history)
    )
