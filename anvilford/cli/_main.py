"""Command line of `anvilctl`."""

import argparse
import contextlib
import importlib
import json
import sys
from collections.abc import Sequence

import urllib3

from anvilford.cli import _changes
from anvilford.cli import _configuration
from anvilford.cli import _jobs
from anvilford.cli import _views
from anvilford.cli._context import CommandError
from anvilford.cli._context import Context
from anvilford.cli._context import EXIT_CODES_HELP
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.cli._output import Progress
from anvilford.cli._output import Report
from anvilford.configuration import Preset


def main(argv: Sequence[str] | None = None) -> int:
    """Runs `anvilctl`.

    Args:
        argv: Arguments without the program name; None for those of the
            process.

    Returns:
        Exit code of the process.
    """
    try:
        return run(sys.argv[1:] if argv is None else argv, Context())
    except KeyboardInterrupt:
        sys.stderr.write("anvilctl: interrupted\n")
        return int(ExitCode.INTERRUPTED)


def run(argv: Sequence[str], context: Context) -> int:
    """Runs one command in the given surroundings.

    Args:
        argv: Arguments without the program name.
        context: Surroundings of the command.

    Returns:
        Exit code of the process.
    """
    if list(argv[:1]) == ["experiment"]:
        # argparse would not pass on a first argument that is an option.
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


def _execute(arguments: argparse.Namespace, context: Context) -> Report:
    message = "waiting for an answer"
    with (
        urllib3.PoolManager() as pool,
        Progress(context.stderr, message, context.progress_delay) as progress,
    ):
        session = Session(context, pool, progress)
        return arguments.command(arguments, session)


def make_parser() -> argparse.ArgumentParser:
    """Makes the parser of all commands."""
    shared = _shared_options()
    parser = argparse.ArgumentParser(
        prog="anvilctl",
        description="Controls anvilford and runs jobs.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[shared],
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    def add(to, name, text, command):
        sub = to.add_parser(
            name,
            help=text,
            description=text,
            epilog=EXIT_CODES_HELP,
            formatter_class=argparse.RawDescriptionHelpFormatter,
            parents=[shared],
        )
        sub.set_defaults(command=command)
        return sub

    def add_group(name, text):
        group = commands.add_parser(name, help=text, description=text)
        return group.add_subparsers(required=True, metavar="COMMAND")

    add(commands, "status", "show the entry VMs", _views.status)
    add(commands, "targets", "list the targets", _views.targets)
    listing = add(
        commands, "submissions", "list submissions", _views.submissions
    )
    listing.add_argument("--limit", type=int, default=100, metavar="N")
    _add_configuration(add, add_group)
    target = add_group("target", "drain or resume a target")
    for action in ("drain", "resume"):
        sub = add(target, action, f"{action} a target", _views.mark_target)
        sub.set_defaults(action=action)
        sub.add_argument("vm_id", metavar="ID", type=_path_segment)
    sub = add(commands, "trace", "show the spans of a trace", _views.trace)
    sub.add_argument("trace_id", metavar="ID", type=_path_segment)
    _add_job(add, add_group)
    commands.add_parser(
        "experiment", help="run a measurement; see its own --help"
    )
    return parser


def _shared_options() -> argparse.ArgumentParser:
    # Defaults are left out of the namespace, so that an option may stand
    # before or after the command.
    shared = argparse.ArgumentParser(
        add_help=False, argument_default=argparse.SUPPRESS
    )
    shared.add_argument(
        "--address",
        action="append",
        metavar="IP:PORT",
        help="listener to ask; may be repeated, others follow on failure "
        "(or ANVILCTL_ADDRESS; for jobs ANVILCTL_CALLERS_ADDRESS)",
    )
    shared.add_argument("--token", help="bearer token (or ANVILCTL_TOKEN)")
    shared.add_argument(
        "--profile",
        metavar="FILE",
        help="JSON file with addresses, token, callers_addresses, "
        "callers_token; precedes the environment",
    )
    shared.add_argument("--output", choices=("table", "json"))
    return shared


def _add_configuration(add, add_group) -> None:
    config = add_group("config", "show or change the configuration")
    add(config, "show", "show what is in force", _configuration.show)
    sub = add(config, "diff", "compare a file", _configuration.diff)
    sub.add_argument("file", metavar="FILE")
    sub = add(config, "apply", "put a file in force", _configuration.apply)
    sub.add_argument("file", metavar="FILE")
    sub.add_argument(
        "--expected-version",
        type=int,
        metavar="N",
        help="version that the file is based on; by default the one in force",
    )
    _add_change_options(sub)
    add(config, "history", "list the newest changes", _configuration.history)
    preset = add_group("preset", "change the preset")
    sub = add(preset, "use", "put a preset in force", _changes.use_preset)
    sub.add_argument("preset", choices=[preset.value for preset in Preset])
    _add_change_options(sub)


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=_seconds,
        default=_changes.DEFAULT_WAIT,
        metavar="SECONDS",
        help="limit for the confirmation by every VM; 0 checks once "
        "(default: %(default)s)",
    )
    parser.add_argument(
        "--require-all",
        action="store_true",
        help="write nothing unless every VM is reachable",
    )
    parser.add_argument(
        "--operation-id",
        metavar="ID",
        help="repeat an earlier attempt whose outcome is not known",
    )


def _add_job(add, add_group) -> None:
    job = add_group("job", "run a job as a caller")
    sub = add(job, "run", "submit a job and wait", _jobs.run_job)
    sub.add_argument("file", metavar="FILE", help="the job as JSON")
    sub.add_argument(
        "--id", metavar="ID", help="ask again under an id taken earlier"
    )
    sub.add_argument(
        "--wait",
        type=_seconds,
        metavar="SECONDS",
        help="limit for the answer (default: the deadline of the job and "
        f"{_jobs.EXTRA_WAIT:.0f} s)",
    )


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 86_400:
        raise argparse.ArgumentTypeError("must be from 0 to 86400")
    return value


def _path_segment(text: str) -> str:
    if not text.isprintable() or set(text) & set("/?#% ") or not text.isascii():
        raise argparse.ArgumentTypeError("not an id")
    return text


def _run_experiment(argv: Sequence[str]) -> int:
    # Imported only here because it loads numpy and matplotlib.
    experiments = importlib.import_module("anvilford.experiments")
    return experiments.main(list(argv))


def _write_json(context: Context, value: object) -> None:
    json.dump(value, context.stdout, indent=2)
    context.stdout.write("\n")
