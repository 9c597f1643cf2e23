"""`anvilctl report`: a page with plots from captured logs."""

import argparse
import pathlib

from anvilford.cli._connection import usage_error
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult


def report(arguments: argparse.Namespace, session: Session) -> CommandResult:
    """Runs `anvilctl report`."""
    del session
    # Matplotlib takes a second to import, which other commands do not need.
    from anvilford.reports import summarize_logs
    from anvilford.reports import write_page

    texts: list[str] = []
    for name in arguments.files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            raise usage_error(f"{name}: {error.strerror}.") from error
        texts += text.splitlines()
    day = summarize_logs(texts)
    page = pathlib.Path(arguments.page)
    title = arguments.title or ", ".join(
        pathlib.Path(name).stem for name in arguments.files
    )
    try:
        write_page(day, page, title)
    except OSError as error:
        raise usage_error(f"{page}: {error.strerror}.") from error
    requests = sum(sum(count.values()) for count in day.outcomes.values())
    value = {
        "page": str(page),
        "seconds": day.seconds,
        "requests": requests,
        "not_served": dict(day.refusals),
    }
    return CommandResult(
        value, f"{page}: {requests} requests in {day.seconds} s"
    )
