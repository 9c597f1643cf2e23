"""Entry point of `anvilctl`: parses arguments and runs one command."""

import argparse
import contextlib
import importlib
import json
import sys
from collections.abc import Sequence

import urllib3

from anvilford.cli._arguments import make_parser
from anvilford.cli._context import CommandError
from anvilford.cli._context import Context
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.cli._output import CommandResult
from anvilford.cli._output import Progress


def main(argv: Sequence[str] | None = None) -> int:
    """Runs `anvilctl` with the streams and environment of the process.

    Args:
        argv: Arguments without the program name; None for those of the
            process.

    Returns:
        Exit code of the process, a value of `ExitCode`.
    """
    try:
        return run(sys.argv[1:] if argv is None else argv, Context())
    except KeyboardInterrupt:
        sys.stderr.write("anvilctl: interrupted\n")
        return int(ExitCode.INTERRUPTED)


def run(argv: Sequence[str], context: Context) -> int:
    """Runs one command with the given streams, environment and clock.

    Args:
        argv: Arguments without the program name.
        context: Streams, environment variables and clock of the command.

    Returns:
        Exit code of the process, a value of `ExitCode`.
    """
    if list(argv[:1]) == ["experiment"]:
        # argparse.REMAINDER would not pass on a first argument that is an
        # option.
        return _run_experiment(argv[1:])
    try:
        with (
            contextlib.redirect_stdout(context.stdout),
            contextlib.redirect_stderr(context.stderr),
        ):
            arguments = make_parser().parse_args(argv)
    except SystemExit as stop:
        return int(stop.code or 0)
    as_json = getattr(arguments, "output", "table") == "json"
    try:
        report = _execute(arguments, context)
    except CommandError as error:
        context.stderr.write(f"anvilctl: {error.message}\n")
        if as_json:
            body = {"type": error.kind, "message": error.message}
            _write_json(context, {"error": body | error.details})
        return int(error.exit_code)
    if as_json:
        _write_json(context, report.value)
    else:
        context.stdout.write(f"{report.text}\n")
    return int(report.exit_code)


def _execute(arguments: argparse.Namespace, context: Context) -> CommandResult:
    message = "waiting for an answer"
    with (
        urllib3.PoolManager() as pool,
        Progress(context.stderr, message, context.progress_delay) as progress,
    ):
        session = Session(context, pool, progress)
        return arguments.command(arguments, session)


def _run_experiment(argv: Sequence[str]) -> int:
    # Imported only when needed, because it loads numpy and matplotlib.
    experiments = importlib.import_module("anvilford.experiments")
    return experiments.main(list(argv))


def _write_json(context: Context, value: object) -> None:
    json.dump(value, context.stdout, indent=2)
    context.stdout.write("\n")
