"""JSON logs."""

import json
import logging
from collections.abc import Mapping
from typing import Any
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

# Made once: `json.dumps` with options makes an encoder for each line.
_ENCODER = json.JSONEncoder(default=str)


def _serialize(fields: dict[str, Any], **_: object) -> str:
    """Serializes a line; the formatter's options are those of the encoder."""
    return _ENCODER.encode(fields)


def configure_logging(
    stream: TextIO,
    level: int | str,
    fields: Mapping[str, Any] | None = None,
    line_filter: logging.Filter | None = None,
) -> None:
    """Makes the root logger write one JSON object per line.

    Replaces earlier handlers of the root logger.

    Args:
        stream: Where lines go.
        level: Lowest level that is written.
        fields: Values added to every line, e.g. the zone.
        line_filter: Decides which lines are written.
    """
    formatter = JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields=dict(fields or {}),
        timestamp="time",
        json_serializer=_serialize,
    )
    # No line shows its place in the code, its thread or its process, which
    # cost a third of the time of a line to find out.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    if line_filter is not None:
        handler.addFilter(line_filter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
