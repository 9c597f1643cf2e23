"""Command `anvilctl report`: writes a page with plots from captured logs."""

import argparse
import pathlib

from anvilford.cli._connection import usage_error
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult


def report(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl report`."""
    del session
    # Imported only when needed, because importing matplotlib takes a second.
    from anvilford.reports import summarize_logs
    from anvilford.reports import write_page

    texts: list[str] = []
    for name in arguments.files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            raise usage_error(
                f"Cannot read {name}: {error.strerror}."
            ) from error
        texts += text.splitlines()
    day = summarize_logs(texts)
    page = pathlib.Path(arguments.page)
    title = arguments.title or ", ".join(
        pathlib.Path(name).stem for name in arguments.files
    )
    try:
        write_page(day, page, title)
    except OSError as error:
        raise usage_error(f"Cannot write {page}: {error.strerror}.") from error
    requests = sum(sum(count.values()) for count in day.by_second.values())
    value = {
        "page": str(page),
        "seconds": day.duration_s,
        "requests": requests,
        "not_served": dict(day.failures_by_reason),
    }
    return CommandResult(
        value, f"{page}: {requests} requests in {day.duration_s} s"
    )
