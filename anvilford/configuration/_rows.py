"""The configuration row of the platform's table and its history."""

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

ROW_KEY = "configuration"

# An operator's lost write is found in the history as long as fewer changes
# than this follow before the row is read back.
MAX_HISTORY_ENTRIES = 64


@attrs.frozen
class HistoryEntry:
    """One accepted change.

    Attributes:
        version: Version of the row after the change.
        operation: Operation id chosen by the operator's client.
        author: Name of the operator.
        preset: Preset of the document.
    """

    version: int
    operation: str
    author: str
    preset: Preset


@attrs.frozen
class ConfigurationRow:
    """A checked row.

    Attributes:
        version: Version of the row in the table; at least 1.
        document: The document.
        operation: Operation id of the change that made this version.
        author: Operator who made the change.
        history: The newest changes, newest last, this one included.
    """

    version: int
    document: Document
    operation: str
    author: str
    history: tuple[HistoryEntry, ...] = ()

    def find_operation(self, operation_id: str) -> HistoryEntry | None:
        """Finds the change made under an operation id.

        Args:
            operation_id: Id of the operation, e.g. of a write whose answer
                was lost.

        Returns:
            The change, or None if it is not among the newest ones.
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
    """Checks a row that was read from the table or sent by a peer.

    Args:
        version: Version of the row.
        value: Decoded JSON value of the row.

    Returns:
        The row, or every failure found.
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
    """Returns the JSON value of a row, without its version."""
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

    It is to be written with a compare-and-set against the version of
    `current_row` (0 if there is none). The table counts versions by one, so
    the history can name the new version before the write.

    Args:
        current_row: The row to replace, or None to create it.
        document: New document.
        operation_id: Id of the operation; kept by a repeated attempt.
        author: Operator.

    Returns:
        JSON value with the keys document, operation, author, history.
    """
    version = current_row.version + 1 if current_row else 1
    earlier = current_row.history if current_row else ()
    entry = HistoryEntry(version, operation_id, author, document.preset)
    history = (*earlier, entry)[-MAX_HISTORY_ENTRIES:]
    return encode_row(
        ConfigurationRow(version, document, operation_id, author, history)
    )
