"""Parser of the command line."""

import argparse
from collections.abc import Callable
from typing import Any

from anvilford.cli import _changes
from anvilford.cli import _configuration
from anvilford.cli import _jobs
from anvilford.cli import _views
from anvilford.cli._context import EXIT_CODES_HELP
from anvilford.cli._explain import explain
from anvilford.cli._report import report
from anvilford.configuration import Preset


def make_parser() -> argparse.ArgumentParser:
    """Makes the parser of all commands.

    Returns:
        A parser whose results have the function to run as `command`.
    """
    shared = _shared_options()
    parser = argparse.ArgumentParser(
        prog="anvilctl",
        description="Controls anvilford and runs jobs.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[shared],
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    builder = _Builder(commands, shared)
    _add_views(builder)
    _add_report(builder)
    _add_configuration(builder)
    _add_job(builder)
    commands.add_parser(
        "experiment", help="run a measurement; see its own --help"
    )
    return parser


class _Builder:
    """Adds commands that share options.

    Args:
        commands: What `add_subparsers` returned for the program.
        shared: Parser of the shared options.
    """

    def __init__(self, commands: Any, shared: argparse.ArgumentParser):
        self.commands = commands
        self.shared = shared

    def add(
        self, to: Any, name: str, text: str, command: Callable
    ) -> argparse.ArgumentParser:
        """Adds a command to the program or to a group."""
        parser = to.add_parser(
            name,
            help=text,
            description=text,
            epilog=EXIT_CODES_HELP,
            formatter_class=argparse.RawDescriptionHelpFormatter,
            parents=[self.shared],
        )
        parser.set_defaults(command=command)
        return parser

    def add_group(self, name: str, text: str) -> Any:
        """Adds a group of commands to the program."""
        group = self.commands.add_parser(name, help=text, description=text)
        return group.add_subparsers(required=True, metavar="COMMAND")


def _add_views(builder: _Builder) -> None:
    commands = builder.commands
    builder.add(commands, "status", "show the entry VMs", _views.status)
    builder.add(commands, "targets", "list the targets", _views.targets)
    sub = builder.add(
        commands, "submissions", "list submissions", _views.submissions
    )
    sub.add_argument("--limit", type=int, default=100, metavar="N")
    target = builder.add_group("target", "drain or resume a target")
    for action in ("drain", "resume"):
        sub = builder.add(
            target, action, f"{action} a target", _views.mark_target
        )
        sub.set_defaults(action=action)
        sub.add_argument("vm_id", metavar="ID", type=_path_segment)
    sub = builder.add(
        commands, "trace", "show the spans of a trace", _views.trace
    )
    sub.add_argument("trace_id", metavar="ID", type=_path_segment)
    sub = builder.add(
        commands, "explain", "tell from logs what became of a job", explain
    )
    sub.add_argument("job_id", metavar="ID")
    sub.add_argument(
        "files", metavar="FILE", nargs="+", help="captured logs; - for input"
    )


def _add_report(builder: _Builder) -> None:
    sub = builder.add(
        builder.commands, "report", "draw captured logs as a page", report
    )
    sub.add_argument("files", metavar="FILE", nargs="+", help="captured logs")
    sub.add_argument("--page", required=True, metavar="HTML")
    sub.add_argument("--title", metavar="TEXT")


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


def _add_configuration(builder: _Builder) -> None:
    add = builder.add
    config = builder.add_group("config", "show or change the configuration")
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
    preset = builder.add_group("preset", "change the preset")
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


def _add_job(builder: _Builder) -> None:
    job = builder.add_group("job", "run a job as a caller")
    sub = builder.add(job, "run", "submit a job and wait", _jobs.run_job)
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
