"""Defines the commands and options of `anvilctl`."""

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
    """Returns the parser of all commands.

    The namespace of a parsed command line has the function that runs the
    command as `command`. `experiment` sets none, because `anvilford.cli.run`
    passes its arguments on before parsing.
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
    builder = _CommandBuilder(commands, shared)
    _add_view_commands(builder)
    _add_report_command(builder)
    _add_configuration_commands(builder)
    _add_job_command(builder)
    commands.add_parser(
        "experiment", help="run a measurement; see its own --help"
    )
    return parser


class _CommandBuilder:
    """Adds commands to the program that all accept the shared options.

    Args:
        commands: Subparsers of the program, as `add_subparsers` returns them.
        shared: Parser of the shared options; a parent of each command.
    """

    def __init__(self, commands: Any, shared: argparse.ArgumentParser):
        self.commands = commands
        self.shared = shared

    def add(
        self, subparsers: Any, name: str, help_text: str, command: Callable
    ) -> argparse.ArgumentParser:
        """Adds a command to the program or to a group.

        Args:
            subparsers: Subparsers of the program or of a group.
            name: Name of the command.
            help_text: Help and description of the command.
            command: Function that runs the command, with the parameters
                arguments and session.

        Returns:
            Parser of the command, to which further arguments can be added.
        """
        parser = subparsers.add_parser(
            name,
            help=help_text,
            description=help_text,
            epilog=EXIT_CODES_HELP,
            formatter_class=argparse.RawDescriptionHelpFormatter,
            parents=[self.shared],
        )
        parser.set_defaults(command=command)
        return parser

    def add_group(self, name: str, help_text: str) -> Any:
        """Adds a group of commands to the program.

        Returns:
            Subparsers of the group, for `add`.
        """
        group = self.commands.add_parser(
            name, help=help_text, description=help_text
        )
        return group.add_subparsers(required=True, metavar="COMMAND")


def _add_view_commands(builder: _CommandBuilder) -> None:
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
        sub.add_argument("vm_id", metavar="ID", type=_parse_path_segment)
    sub = builder.add(
        commands, "trace", "show the spans of a trace", _views.trace
    )
    sub.add_argument("trace_id", metavar="ID", type=_parse_path_segment)
    sub = builder.add(
        commands,
        "explain",
        "explain from captured logs how a job ended",
        explain,
    )
    sub.add_argument("job_id", metavar="ID")
    sub.add_argument(
        "files",
        metavar="FILE",
        nargs="+",
        help="captured logs; - for standard input",
    )


def _add_report_command(builder: _CommandBuilder) -> None:
    sub = builder.add(
        builder.commands,
        "report",
        "write a page with plots from captured logs",
        report,
    )
    sub.add_argument("files", metavar="FILE", nargs="+", help="captured logs")
    sub.add_argument("--page", required=True, metavar="HTML")
    sub.add_argument("--title", metavar="TEXT")


def _shared_options() -> argparse.ArgumentParser:
    # A default would overwrite the value of an option that stands before the
    # command, because the program and the command parse the same options.
    shared = argparse.ArgumentParser(
        add_help=False, argument_default=argparse.SUPPRESS
    )
    shared.add_argument(
        "--address",
        action="append",
        metavar="IP:PORT",
        help="address of an entry; may be repeated, the next one is tried if "
        "one fails (or ANVILCTL_ADDRESS; for jobs ANVILCTL_CALLERS_ADDRESS)",
    )
    shared.add_argument("--token", help="bearer token (or ANVILCTL_TOKEN)")
    shared.add_argument(
        "--profile",
        metavar="FILE",
        help="JSON file with addresses, token, callers_addresses, "
        "callers_token; takes precedence over the environment",
    )
    shared.add_argument("--output", choices=("table", "json"))
    return shared


def _add_configuration_commands(builder: _CommandBuilder) -> None:
    add = builder.add
    config = builder.add_group("config", "show or change the configuration")
    add(config, "show", "show the configuration in force", _configuration.show)
    sub = add(
        config,
        "diff",
        "compare a file with the configuration in force",
        _configuration.diff,
    )
    sub.add_argument("file", metavar="FILE")
    sub = add(
        config,
        "apply",
        "put the configuration in a file in force",
        _configuration.apply,
    )
    sub.add_argument("file", metavar="FILE")
    sub.add_argument(
        "--expected-version",
        type=int,
        metavar="N",
        help="version that the file is based on (default: the one in force)",
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
        type=seconds,
        default=_changes.DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="time limit for the confirmation by every VM; 0 checks once "
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
        help="repeat the change with this id, whose outcome is not known",
    )


def _add_job_command(builder: _CommandBuilder) -> None:
    job = builder.add_group("job", "run a job as a caller")
    sub = builder.add(job, "run", "submit a job and wait", _jobs.run_job)
    sub.add_argument("file", metavar="FILE", help="the job as JSON")
    sub.add_argument(
        "--id",
        metavar="ID",
        help="ask again for the answer to a job submitted under this id",
    )
    sub.add_argument(
        "--wait",
        type=seconds,
        metavar="SECONDS",
        help="time limit for the answer (default: deadline of the job plus "
        f"{_jobs.EXTRA_WAIT_S:.0f} s)",
    )


def seconds(text: str) -> float:
    """Parses a duration; argparse shows the name of this function in errors."""
    value = float(text)
    if not 0 <= value <= 86_400:
        raise argparse.ArgumentTypeError(
            f"must be a number of seconds from 0 to 86400, found {text}"
        )
    return value


def _parse_path_segment(text: str) -> str:
    """Checks that an id can be used as one segment of a URL path."""
    if not text.isprintable() or set(text) & set("/?#% ") or not text.isascii():
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an id; expected printable ASCII characters other "
            "than space, /, ?, # and %"
        )
    return text
