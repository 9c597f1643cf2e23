"""JSON logs."""

import logging
from collections.abc import Mapping
from typing import Any
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


def configure_logging(
    stream: TextIO, level: int | str, fields: Mapping[str, Any] | None = None
) -> None:
    """Makes the root logger write one JSON object per line.

    Replaces earlier handlers of the root logger.

    Args:
        stream: Where lines go.
        level: Lowest level that is written.
        fields: Values added to every line, e.g. the zone.
    """
    formatter = JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields=dict(fields or {}),
        timestamp="time",
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
