"""Tests of anvilctl that compare transcripts of commands with golden files.

If the environment variable ANVILFORD_WRITE_GOLDEN is 1, the tests rewrite the
golden files instead of comparing with them.
"""

import contextlib
import io
import itertools
import json
import os
import pathlib
import shlex
import socket
import sys
import tempfile
import time
import types

import attrs

from anvilford import cli
from anvilford import http
from anvilford.cli.tests import caller_fake
from anvilford.http.tests import operator_fake
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

GOLDEN = pathlib.Path(__file__).with_name("golden")
FILES = {
    "peak.json": {"preset": "peak", "quotas": {"line": 400}},
    "bad.json": {"preset": "peak", "quotas": {"line": -1}, "extra": 1},
    "job.json": {
        "service": "line-brain",
        "deadline_ms": 500,
        "tasks": [{"operation": "seal", "payload": 1}],
    },
    "profile.json": {"token": operator_fake.TOKEN},
    "wrong.json": {"token": 7},
}


class Clock:
    """Clock that advances only when `sleep` is called."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        """Returns the simulated time in seconds."""
        return self.now

    def sleep(self, seconds):
        """Advances the simulated time without waiting."""
        self.now += seconds


@attrs.define
class Terminal:
    """Runs commands and records a transcript.

    Attributes:
        entry: Entry whose address replaces the placeholder {entry}.
        other: Entry whose address replaces the placeholder {other}.
        callers: Script of the callers' listener whose address replaces the
            placeholder {callers}.
        names: Values of all placeholders by name. Commands contain the
            placeholders, and the transcript shows them instead of the values.
        environ: Environment variables of the commands.
        clock: Simulated clock of the commands.
        transcript: Command lines, outputs and exit codes so far.
        operations: Source of the numbers in operation ids.
    """

    entry: operator_fake.FakeEntry
    other: operator_fake.FakeEntry
    callers: caller_fake.CallerScript
    names: dict
    environ: dict
    clock: Clock = attrs.field(factory=Clock)
    transcript: str = ""
    operations: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def run(self, command):
        """Runs one command line and returns its exit code."""
        stdout, stderr = io.StringIO(), io.StringIO()
        context = cli.Context(
            stdout=stdout,
            stderr=stderr,
            environ=self.environ,
            monotonic=self.clock.monotonic,
            sleep=self.clock.sleep,
            new_operation_id=lambda: f"operation-{next(self.operations)}",
            progress_delay=30,
        )
        code = cli.run(shlex.split(command.format(**self.names)), context)
        # Only the last line, because the other lines of argparse's usage text
        # depend on the width of the terminal.
        errors = stderr.getvalue().splitlines()
        errors = errors[-1:] if code == cli.ExitCode.USAGE else errors
        text = "".join(
            [f"$ anvilctl {command}\n", stdout.getvalue()]
            + [f"stderr: {line}\n" for line in errors]
            + [f"exit code {code}\n\n"]
        )
        for name, value in self.names.items():
            text = text.replace(value, "{" + name + "}")
        self.transcript += text
        return code

    def compare(self, case, name):
        """Compares the transcript with the golden file of this name."""
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("ANVILFORD_WRITE_GOLDEN") == "1":
            path.write_text(self.transcript, encoding="utf-8")
        expected = path.read_text(encoding="utf-8")
        case.assertMultiLineEqual(self.transcript, expected)


@fixture
def terminal():
    """Yields a terminal with two entries, a callers' listener and files."""
    entries = operator_fake.FakeEntry(), operator_fake.FakeEntry()
    script = caller_fake.CallerScript()
    with contextlib.ExitStack() as stack:
        addresses = [
            stack.enter_context(
                operator_fake.serve(
                    http.operator_application(entry, operator_fake.OPERATORS)
                )
            )
            for entry in entries
        ]
        callers = stack.enter_context(caller_fake.serve_callers(script))
        # A bound socket that does not listen refuses connections.
        closed = stack.enter_context(socket.socket())
        closed.bind(("127.0.0.1", 0))
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        for file, content in FILES.items():
            pathlib.Path(folder, file).write_text(
                json.dumps(content), encoding="utf-8"
            )
        names = {
            "entry": addresses[0],
            "other": addresses[1],
            "callers": callers,
            "closed": f"127.0.0.1:{closed.getsockname()[1]}",
            "folder": folder,
        }
        environ = {
            "ANVILCTL_ADDRESS": addresses[0],
            "ANVILCTL_CALLERS_ADDRESS": callers,
            "ANVILCTL_TOKEN": operator_fake.TOKEN,
        }
        yield Terminal(*entries, script, names, environ)


def test_views(case, terminal):
    """Each view shows what the entry reports, as a table and as JSON."""
    terminal.entry.unreachable.add("vm-3")
    for command in (
        "status",
        "status --output json",
        "targets",
        "submissions --limit 2",
        f"trace {operator_fake.TRACE_ID}",
        "trace 00",
        "target drain t-1",
        "targets --output json",
        "target resume t-1",
        "target drain t-9",
        "target drain ../preset",
    ):
        terminal.run(command)
    terminal.compare(case, "views")


def test_configuration(case, terminal):
    """`config apply` writes the document that `config diff` compared.

    An invalid document is refused, and so is a change based on a version that
    is no longer in force.
    """
    for command in (
        "config show",
        "config diff {folder}/peak.json",
        "config apply {folder}/peak.json",
        "config diff {folder}/peak.json",
        "config apply {folder}/bad.json",
        "config apply {folder}/peak.json --expected-version 1",
        "config diff {folder}/peak.json --output json",
        "config history",
    ):
        terminal.run(command)
    terminal.compare(case, "configuration")


def test_preset_reports_each_vm(case, terminal):
    """A preset is reported in force only on VMs that confirmed it (P8).

    Covers VMs that confirm late, do not confirm within the limit, are not
    reachable, or are known to only one of two entries.
    """
    terminal.entry.lagging = {"vm-2": 3}
    terminal.run("preset use peak")
    terminal.entry.unreachable = {"vm-3"}
    terminal.run("preset use maintenance --require-all")
    terminal.entry.lagging = {"vm-3": 99, "vm-2": 99}
    terminal.run("preset use maintenance --wait 2")
    terminal.run("preset use ordinary --wait 0 --output json")
    case.assertEqual(terminal.entry.row.version, 4)
    # Partition: one entry knows the version of vm-3 only, the other entry
    # knows those of vm-1 and vm-2 only.
    entry, other = terminal.entry, terminal.other
    entry.lagging = {"vm-3": 99}
    other.lagging = {"vm-1": 99, "vm-2": 99}
    other_status = other.status

    def status_after_poll():
        other.row = entry.row
        return other_status()

    other.status = status_after_poll
    terminal.run("preset use peak --address {entry} --address {other}")
    terminal.compare(case, "preset")


def test_lost_writes(case, terminal):
    """A write whose answer is lost is applied once.

    The request is repeated with the same operation id, and the command reports
    success, refusal or an unknown outcome only if the entry's answers show it.
    """
    entry = terminal.entry
    entry.lost_answers = 1
    case.assertEqual(terminal.run("preset use peak"), 0)
    case.assertEqual(entry.row.version, 2)
    case.assertEqual([call[0] for call in entry.calls], ["operation-1"] * 2)
    entry.failures["change"] = [http.WriteUnresolved("operation-2")] * 3
    terminal.run("preset use maintenance")
    terminal.run("preset use maintenance --operation-id operation-2")
    entry.failures["change"] = [http.StoreUnavailable("timeout")] * 2
    terminal.run("preset use peak --output json")
    terminal.run("preset use peak --address {entry} --address {other}")
    conflict = http.ConfigurationConflict(9, "bea", "operation-x", "ordinary")
    entry.failures["change"] = [http.WriteUnresolved("operation-5"), conflict]
    terminal.run("preset use peak")
    entry.failures["status"] = [http.EntryUnavailable()] * 2
    terminal.run("preset use peak --wait 0")
    terminal.run("status")
    terminal.compare(case, "lost_writes")


def test_connection_options(case, terminal):
    """Addresses and token come from options, profile and environment.

    A missing or malformed address or token is a usage error.
    """
    terminal.run("status --address {closed} --output json")
    terminal.run("--output json trace 0 --address {closed} --address {other}")
    terminal.run("status --token wrong-token-0123456789")
    terminal.run("status --address localhost:7101")
    terminal.run("preset use holiday")
    terminal.run("submissions --limit 0")
    terminal.environ.clear()
    terminal.run("status")
    terminal.run("status --address {other}")
    terminal.run("status --address {other} --profile {folder}/wrong.json")
    terminal.run("targets --address {other} --profile {folder}/profile.json")
    terminal.compare(case, "connection")


def test_job_keeps_its_id(case, terminal):
    """A job whose answer is lost is sent again under the same id (P1).

    A new id would make the job run a second time.
    """
    script, drop = terminal.callers, caller_fake.DROP
    complete = (200, {"outcome": "complete", "results": [{"ok": True}]})
    unknown = (504, {"outcome": "outcome_unknown", "reason": "owner_gone"})
    failed = {"outcome": "failed", "reason": "task_failed", "tasks": ["failed"]}
    refusal = {"outcome": "not_run", "reason": "overloaded", "retry_id": "i2"}
    pending = (202, {"outcome": "pending"})
    command = "job run {folder}/job.json"
    table = [
        ([drop, pending, complete], f"{command} --output json", 0),
        (
            [drop, complete],
            f"{command} --address {{closed}} " "--address {callers}",
            0,
        ),
        ([(200, failed)], command, 1),
        ([(503, refusal)], command, 1),
        ([(409, {"outcome": "conflict"})], command, 4),
        ([unknown] * 3, command, 6),
        ([drop] * 3, command, 6),
        ([], f"{command} --address {{closed}}", 5),
        ([complete], f"{command} --id {caller_fake.SUBMISSION_ID}", 0),
    ]
    for answers, line, code in table:
        script.answers, script.received, count = answers, [], len(answers)
        case.assertEqual(terminal.run(line), code, line)
        path = f"/v1/submissions/{caller_fake.SUBMISSION_ID}"
        case.assertEqual(script.received, [(path, FILES["job.json"])] * count)
    case.assertEqual(script.ids_issued, 7)
    terminal.compare(case, "job")


def test_status_names_tasks_that_are_slowed_down(case, terminal):
    """`status` shows the pairs that the leader keeps apart.

    Entries that do not lead report none, and earlier releases no such field.
    """
    entry = terminal.entry
    status = entry.status
    placement = {
        "leader": "vm-1",
        "term": 3,
        "is_partial": False,
        "targets_listed": 4,
        "jobs_waiting": {},
    }
    pair = {
        "kind": "check/0",
        "slowed_by": "plan/0",
        "ratio": 1.5,
        "known_ms": 2300,
    }
    line = "Slowed down: check/0 by plan/0, 1.50 times, known for 2.3 s\n"
    for extra, shown in (
        ({"interfering_tasks": [pair]}, 1),
        ({"interfering_tasks": []}, 0),
        ({"interfering_tasks": None}, 0),
        ({}, 0),
    ):
        with case.subTest(extra=extra):
            entry.status = lambda e=extra: status() | {
                "placement": placement | e
            }
            terminal.transcript = ""
            case.assertEqual(terminal.run("status"), 0)
            case.assertIn("Leader: vm-1, term 3", terminal.transcript)
            case.assertEqual(terminal.transcript.count(line), shown)
            case.assertEqual(terminal.transcript.count("Slowed"), shown)


def test_progress_after_the_delay(case, terminal):
    """A progress line appears after the delay, and none in a fast command."""
    entry = terminal.entry
    status = entry.status
    entry.status = lambda: time.sleep(0.2) or status()
    for delay, shown in ((0.05, True), (5, False)):
        stderr = io.StringIO()
        context = cli.Context(
            stdout=io.StringIO(),
            stderr=stderr,
            environ=terminal.environ,
            progress_delay=delay,
        )
        case.assertEqual(cli.run(["status"], context), 0)
        case.assertEqual("waiting for an answer" in stderr.getvalue(), shown)


def test_experiment_arguments_are_passed_on(case):
    """Arguments after `experiment` reach the experiments unchanged.

    argparse would otherwise interpret their options as those of anvilctl. Also
    checks that the help lists all exit codes.
    """
    received = []
    name = "anvilford.experiments"
    before = sys.modules.get(name)
    sys.modules[name] = types.SimpleNamespace(
        main=lambda argv: received.append(argv) or 7
    )
    try:
        case.assertEqual(cli.main(["experiment", "--seeds", "5", "run"]), 7)
    finally:
        del sys.modules[name]
        if before:
            sys.modules[name] = before
    case.assertEqual(received, [["--seeds", "5", "run"]])
    stdout = io.StringIO()
    case.assertEqual(cli.run(["--help"], cli.Context(stdout=stdout)), 0)
    for code in cli.ExitCode:
        case.assertIn(f"\n  {code.value} ", stdout.getvalue())
