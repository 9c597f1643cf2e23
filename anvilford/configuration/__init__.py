"""Configuration that operators put in force: documents, rows and versions."""

from anvilford.configuration._document import Document
from anvilford.configuration._document import DocumentFailure
from anvilford.configuration._document import encode_document
from anvilford.configuration._document import parse_document
from anvilford.configuration._document import Preset
from anvilford.configuration._document import ServiceDocument
from anvilford.configuration._register import ConfigurationRegister
from anvilford.configuration._rows import ConfigurationRow
from anvilford.configuration._rows import encode_row
from anvilford.configuration._rows import HistoryEntry
from anvilford.configuration._rows import MAX_HISTORY_ENTRIES
from anvilford.configuration._rows import next_row_value
from anvilford.configuration._rows import parse_row
from anvilford.configuration._rows import ROW_KEY

__all__ = [
    "MAX_HISTORY_ENTRIES",
    "ROW_KEY",
    "ConfigurationRow",
    "Document",
    "DocumentFailure",
    "HistoryEntry",
    "Preset",
    "ConfigurationRegister",
    "ServiceDocument",
    "encode_document",
    "encode_row",
    "next_row_value",
    "parse_document",
    "parse_row",
]
