"""Golden files of sessions of callers and operators with real daemons.

With `ANVILFORD_WRITE_GOLDEN=1` in the environment, the tests overwrite the
golden files with the current transcripts.
"""

import json
import os
import pathlib
import re
import shlex
import signal
import subprocess
import sys
import tempfile

import attrs

from anvilford.daemon.tests import system
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

PROGRESS = re.compile(r"anvilctl: .* \(\d+ s\)")
GOLDEN = pathlib.Path(__file__).with_name("golden")
FILES = {
    "peak.json": {"preset": "peak", "quotas": {"line-2": 400}},
    "bad.json": {"preset": "peak", "quotas": {"line-2": -1}, "extra": 1},
    "job.json": cluster.job_document(3, 20),
    "failing.json": cluster.job_document(1, 0),
}
FILES["failing.json"]["tasks"][0]["payload"]["fail"] = True
TOKENS = {
    "line-1": cluster.CALLER_TOKEN,
    "line-2": cluster.OTHER_CALLER_TOKEN,
}
SUBMISSION_ID = re.compile(r"[\w-]+~[\d.:]+~\w+~\d+~\w+")
# `anvilctl submissions` lists ids without incarnation and tag.
SHORT_ID = re.compile(r"[\w-]+~[\d.:]+~(\d+)\b")
OPERATION = re.compile(r"\b[0-9a-f]{32}\b")
MEASURED = (
    (re.compile(r'("heartbeat_age_ms": )\d+'), r"\1{ms}"),
    (re.compile(r"\b\d+(\.\d+)? m?s\b"), "{age}"),
    (re.compile(r"target-quimper-a-\d(?=\")"), "{target}"),
    (re.compile(r"(?<=\S)  +"), "  "),
    # The number of slots varies with what the other entry lends.
    (re.compile(r"(?m)^(target-quimper-a-\d  .*  )\d+$"), r"\1{slots}"),
)


@attrs.define
class Session:
    """Sends requests, runs commands and records them with their output.

    Attributes:
        site: The running system.
        entries: Entries, sorted by peer address as in the listings.
        folder: Folder of the files that the commands read.
        transcript: Requests, commands and their output, before variable values
            are replaced by placeholders.
    """

    site: cluster.Site
    entries: list[cluster.Entry]
    folder: str
    transcript: str = ""

    def request(self, method, entry, path, document=None, caller="line-1"):
        """Sends a caller's request; returns the decoded answer."""
        token = TOKENS.get(caller, "wrong")
        reply = self.site.caller_request(method, entry, path, document, token)
        body = json.dumps(document) if document is not None else ""
        kind = reply.headers["Content-Type"]
        self.transcript += (
            f"> {caller}: {method} {entry.callers}/v1/{path} {body}".rstrip()
            + f"\n< {reply.status} {kind}\n< {reply.data.decode()}\n\n"
        )
        return reply.json()

    def run(self, command, entry=None):
        """Runs `anvilctl` at an entry, by default the first, and records it."""
        entry = entry or self.entries[0]
        environ = os.environ | {
            "ANVILCTL_ADDRESS": entry.operators,
            "ANVILCTL_CALLERS_ADDRESS": entry.callers,
            "ANVILCTL_TOKEN": cluster.OPERATOR_TOKEN,
        }
        if command.startswith("job "):
            environ["ANVILCTL_TOKEN"] = cluster.CALLER_TOKEN
        done = subprocess.run(
            [sys.executable, "-m", "anvilford.cli", *shlex.split(command)],
            cwd=cluster.ROOT,
            env=environ | {"PYTHONPATH": str(cluster.ROOT)},
            capture_output=True,
            text=True,
            timeout=system.CLI_LIMIT_S,
            check=False,
        )
        # A command that takes longer than 1 s prints what it waits for. How
        # often depends on the load of the machine, so these lines are dropped.
        errors = "".join(
            f"stderr: {line}\n"
            for line in done.stderr.splitlines()
            if not PROGRESS.fullmatch(line)
        )
        self.transcript += (
            f"$ anvilctl {command}\n{done.stdout}{errors}"
            f"exit code {done.returncode}\n\n"
        )

    def compare_with_golden_file(self, case, name):
        """Compares the transcript, with placeholders, with a golden file."""
        text = self._with_placeholders()
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("ANVILFORD_WRITE_GOLDEN") == "1":
            path.write_text(text, encoding="utf-8")
        case.assertMultiLineEqual(text, path.read_text(encoding="utf-8"))

    def _with_placeholders(self):
        text = self.transcript.replace(self.folder, "{folder}")
        for pattern, name in ((SUBMISSION_ID, "id"), (OPERATION, "operation")):
            for number, value in enumerate(
                dict.fromkeys(match[0] for match in pattern.finditer(text)), 1
            ):
                text = text.replace(value, f"{{{name}-{number}}}")
        text = SHORT_ID.sub(r"{sequence-\1}", text)
        for number, entry in enumerate(self.entries, 1):
            for listener in ("callers", "operators", "peers"):
                address = getattr(entry, listener)
                text = text.replace(address, f"{{{listener}-{number}}}")
        for number, vm_id in enumerate(sorted(self.site.targets), 1):
            address, _ = self.site.targets[vm_id]
            text = text.replace(address, f"{{target-address-{number}}}")
        for pattern, replacement in MEASURED:
            text = pattern.sub(replacement, text)
        return text


@fixture
def session(case):
    """A session with two entries of one zone that see each other."""
    with (
        tempfile.TemporaryDirectory() as folder,
        cluster.Site(entries_per_zone=2) as site,
    ):
        for name, content in FILES.items():
            pathlib.Path(folder, name).write_text(json.dumps(content))
        entries = sorted(site.entries, key=lambda entry: entry.peers)

        def settled():
            views = [
                site.operator_request("GET", entry, "/v1/status").json()["vms"]
                for entry in entries
            ]
            return all(
                vm["reachable"] and vm["configuration_version"] == 1
                for view in views
                for vm in view
            ) and all(len(view) == 2 for view in views)

        system.wait_until(case, settled, 10)
        yield Session(site, entries, folder)


def test_callers_session(case, session):
    """Statuses and bodies of the callers' interface match the golden file."""
    first, second = session.entries
    request = session.request
    job, failing = FILES["job.json"], FILES["failing.json"]
    request("GET", first, "ready")
    request("POST", first, "submission-ids", caller="nobody")
    request("POST", first, "submission-ids?count=0")
    ids = request("POST", first, "submission-ids?count=6")["ids"]
    paths = [f"submissions/{submission_id}" for submission_id in ids]
    request("GET", first, paths[0])
    request("PUT", first, paths[0], job)
    request("GET", second, paths[0])
    request("PUT", second, paths[0], job)
    request("PUT", first, paths[0], failing)
    request("GET", first, paths[0], caller="line-2")
    request("GET", first, "submissions/none")
    request("PUT", first, paths[1], job | {"tasks": []})
    request("PUT", first, paths[1], failing)
    request("PUT", second, paths[2], job | {"service": "no-such-service"})
    request("DELETE", first, paths[3])
    request("PUT", first, paths[3], job)
    request("GET", first, "other")
    first.process.signal(signal.SIGTERM)
    case.assertEqual(first.process.wait(), 0)
    request("PUT", second, paths[0], job)
    request("PUT", second, paths[4], job)
    lost = request("POST", second, "submission-ids")["ids"][0]
    second.process.signal(signal.SIGKILL)
    second.process.wait()
    successor = session.site.start_entry(second.zone, second.peers)
    session.site.wait_ready(successor)
    session.entries.append(successor)
    request("PUT", successor, f"submissions/{lost}", job)
    request("GET", successor, paths[4])
    session.compare_with_golden_file(case, "callers")


def test_operators_session(case, session):
    """Output and exit codes of `anvilctl` match the golden file."""
    folder = session.folder
    for command in (
        "status",
        "targets",
        "config show",
        f"config diff {folder}/peak.json",
        f"config apply {folder}/bad.json",
        f"config apply {folder}/peak.json",
        f"config apply {folder}/peak.json --expected-version 1",
        "preset use ordinary --output json",
        "config history",
        "target drain target-quimper-a-0",
        "target drain target-quimper-a-9",
        "targets",
        "target resume target-quimper-a-0",
        f"job run {folder}/job.json",
        f"job run {folder}/failing.json",
        "submissions",
        "preset use maintenance",
        f"job run {folder}/job.json --output json",
        "trace 00",
        "status --output json",
        "status --token wrong",
    ):
        session.run(command)
    session.site.set_faults(session.site.platform, outage=True)
    session.run("preset use ordinary")
    session.compare_with_golden_file(case, "operators")
