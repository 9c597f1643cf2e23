"""Environment of a command: streams, clock, exit codes and errors."""

import enum
import os
import sys
import time
import uuid
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import TextIO

import attrs
import urllib3

from anvilford.cli._output import Progress


class ExitCode(enum.IntEnum):
    """Exit codes of `anvilctl`; the help lists them."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_IN_FORCE = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN = 6
    INTERRUPTED = 130


EXIT_CODES_HELP = """\
exit codes:
  0    done
  1    refused or failed; the message states the reason
  2    invalid arguments, environment or files
  3    accepted, but not confirmed on every VM within the limit
  4    conflict with another change, or with another job under the same id
  5    no address could be reached
  6    outcome unknown: the change or the job may have taken effect
  130  interrupted
"""


@attrs.frozen
class Context:
    """Streams, environment variables and clock that a command uses.

    Tests replace them.

    Attributes:
        stdout: Stream for results.
        stderr: Stream for errors and progress.
        environ: Environment variables.
        monotonic: Returns a monotonic time in seconds.
        sleep: Waits for a number of seconds.
        new_operation_id: Returns a new unique operation id.
        progress_delay: Time before the first progress line, in seconds.
    """

    stdout: TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: TextIO = attrs.field(factory=lambda: sys.stderr)
    environ: Mapping[str, str] = attrs.field(factory=lambda: os.environ)
    monotonic: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    new_operation_id: Callable[[], str] = lambda: uuid.uuid4().hex
    progress_delay: float = 1.0


@attrs.frozen
class Session:
    """One run of a command.

    Attributes:
        context: Streams, environment variables and clock of the command.
        pool: Pool of HTTP connections to daemons.
        progress: Progress line, whose message the command updates.
    """

    context: Context
    pool: urllib3.PoolManager
    progress: Progress


class CommandError(Exception):
    """Ends a command with an error.

    Attributes:
        exit_code: Exit code of the process.
        kind: Type of the error. Errors of a daemon keep the type that the
            daemon reported.
        message: Message for the user, written to stderr.
        details: Further JSON values by key, for `--output json`.
    """

    def __init__(
        self, exit_code: ExitCode, kind: str, message: str, **details: Any
    ):
        super().__init__(message)
        self.exit_code = exit_code
        self.kind = kind
        self.message = message
        self.details = details
