"""Load and checks shared by the tests of the running system."""

import collections
import contextlib
import itertools
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

from standins import cluster

_KEYS = itertools.count()
CLI_LIMIT_S = 60.0


@attrs.frozen
class Sent:
    """One submission and what came of it.

    Attributes:
        entry: The entry that was asked.
        submission_id: The id.
        job: The job.
        began: Monotonic time in seconds before the request.
        ended: The same after the response.
        status: HTTP status, 0 without a complete response.
        body: The answer.
        error: Failure of the connection, "" if there was none.
    """

    entry: cluster.Entry
    submission_id: str
    job: dict[str, Any]
    began: float
    ended: float
    status: int
    body: dict[str, Any]
    error: str = ""

    @property
    def echoes(self) -> list[str]:
        """Echoes of the tasks, which tell all tasks of a run apart."""
        return echoes_of(self.job)

    @property
    def outcome(self) -> str:
        """Outcome in the answer; "" without one."""
        return self.body.get("outcome", "")


def distinct_job(
    count: int = 1, run_ms: float = 50, deadline_ms: int = 8000, **changes: Any
) -> dict[str, Any]:
    """A job whose echoes occur in no other job of this process."""
    made = cluster.job_document(count, run_ms, deadline_ms, **changes)
    key = next(_KEYS)
    for index, task in enumerate(made["tasks"]):
        task["payload"]["echo"] = f"{key}-{index}"
    return made


def echoes_of(job: dict[str, Any]) -> list[str]:
    """Echoes of the tasks of a job."""
    return [task["payload"]["echo"] for task in job["tasks"]]


def send(
    site: cluster.Site, entry: cluster.Entry, submission_id: str, job: Any
) -> Sent:
    """Submits a job and notes the answer or the lost connection."""
    began = time.monotonic()
    path = f"submissions/{submission_id}"
    try:
        reply = site.caller_request("PUT", entry, path, job)
        status, body, error = reply.status, reply.json(), ""
    except (urllib3.exceptions.HTTPError, ValueError) as failure:
        status, body, error = 0, {}, repr(failure)
    ended = time.monotonic()
    return Sent(entry, submission_id, job, began, ended, status, body, error)


def submit(site: cluster.Site, entry: cluster.Entry, job: Any) -> Sent:
    """Submits a job under a fresh id of the same entry."""
    return send(site, entry, site.issue_submission_ids(entry)[0], job)


@attrs.define(eq=False)
class Load:
    """Submits jobs from several threads; a context manager.

    A thread leaves an entry that issues no ids any more or accepts no
    connection, as a balancer does.

    Attributes:
        site: The site.
        entries: Entries in use, taken in turn.
        make_job: Makes each job.
        threads: Number of callers.
        sent: What was submitted.
        left: Entries that were left, once for each thread.
        failures: Failed requests for ids, and unexpected refusals of them.
    """

    site: cluster.Site
    entries: list[cluster.Entry]
    make_job: Callable[[], dict[str, Any]] = distinct_job
    threads: int = 8
    sent: list[Sent] = attrs.field(factory=list)
    left: list[cluster.Entry] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    _over: threading.Event = attrs.field(factory=threading.Event)
    _running: list[threading.Thread] = attrs.field(factory=list)

    def __enter__(self) -> "Load":
        for number in range(self.threads):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self._running.append(thread)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._over.set()
        for thread in self._running:
            thread.join()

    def _run(self, number: int) -> None:
        entries = list(self.entries)
        for turn in itertools.count(number):
            if self._over.is_set() or not entries:
                return
            entry = entries[turn % len(entries)]
            submission_id = self._issue(entry)
            if submission_id is None:
                entries.remove(entry)
                self.left.append(entry)
                continue
            sent = send(self.site, entry, submission_id, self.make_job())
            self.sent.append(sent)

    def _issue(self, entry: cluster.Entry) -> str | None:
        try:
            reply = self.site.caller_request("POST", entry, "submission-ids")
        except urllib3.exceptions.NewConnectionError:
            return None
        except urllib3.exceptions.HTTPError as failure:
            self.failures.append(repr(failure))
            return None
        if reply.status == 201:
            return reply.json()["ids"][0]
        if reply.json()["type"] != "draining":
            self.failures.append(reply.data.decode())
        return None


@attrs.define(eq=False)
class Background:
    """Submits one job from a thread; a context manager that awaits it.

    Attributes:
        site: The site.
        entry: The entry.
        job: The job.
        submission_id: Its id; issued by the entry if it is empty.
        sent: What came of it, once the thread ended.
    """

    site: cluster.Site
    entry: cluster.Entry
    job: dict[str, Any]
    submission_id: str = ""
    sent: Sent | None = None
    _thread: threading.Thread | None = None

    def __enter__(self) -> "Background":
        if not self.submission_id:
            self.submission_id = self.site.issue_submission_ids(self.entry)[0]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._thread.join()

    def _run(self) -> None:
        self.sent = send(self.site, self.entry, self.submission_id, self.job)


def starts_by_echo(site: cluster.Site) -> collections.Counter:
    """Number of starts of each task at the targets that still run."""
    return collections.Counter(start["echo"] for start in site.task_starts())


def all_started(site: cluster.Site, job: dict[str, Any]) -> bool:
    """Tells whether every task of a job has started."""
    return not set(echoes_of(job)) - starts_by_echo(site).keys()


def check_answers(case, sent: list[Sent]) -> None:
    """Checks that every answer arrived and is whole, with its own results."""
    for one in sent:
        case.assertEqual(one.error, "", one)
        if one.outcome == "complete":
            results = [result["echo"] for result in one.body["results"]]
            case.assertEqual(results, one.echoes)
        else:
            case.assertIn(one.outcome, ("failed", "not_run"), one)
            case.assertNotIn("results", one.body)


def check_starts(case, site: cluster.Site, sent: list[Sent]) -> None:
    """Checks the answers against the log of the targets."""
    counts = starts_by_echo(site)
    for one in sent:
        found = [counts[echo] for echo in one.echoes]
        match one.outcome:
            case "complete":
                case.assertEqual(set(found), {1}, one)
            case "not_run":
                case.assertEqual(set(found), {0}, one)
            case _:
                case.assertLessEqual(max(found), 1, one)


def wait_until(case, condition: Callable[[], Any], limit: float) -> Any:
    """Waits for a condition; fails after `limit` seconds."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            case.fail(f"not within {limit} s: {value!r}")
        time.sleep(0.05)


@contextlib.contextmanager
def suspended(*members: cluster.SiteProcess) -> Iterator[None]:
    """Suspends processes within the block."""
    with contextlib.ExitStack() as stack:
        for member in members:
            member.signal(cluster.SUSPEND)
            stack.callback(member.signal, cluster.RESUME)
        yield


def start_anvilctl(
    addresses: list[str], *arguments: str, token: str = cluster.OPERATOR_TOKEN
) -> subprocess.Popen:
    """Starts `anvilctl` with JSON output."""
    options = [part for a in addresses for part in ("--address", a)]
    return subprocess.Popen(
        [sys.executable, "-m", "anvilford.cli", *arguments, *options]
        + ["--token", token, "--output", "json"],
        cwd=cluster.ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def finish_anvilctl(process: subprocess.Popen) -> tuple[int, Any]:
    """Awaits `anvilctl`; returns its exit status and JSON output."""
    try:
        output, _ = process.communicate(timeout=CLI_LIMIT_S)
    finally:
        process.kill()
    return process.returncode, json.loads(output)


def anvilctl(entry: cluster.Entry, *arguments: str) -> tuple[int, Any]:
    """Runs `anvilctl` at one entry; returns exit status and JSON output."""
    return finish_anvilctl(start_anvilctl([entry.operators], *arguments))


@contextlib.contextmanager
def document_file(document: dict[str, Any]) -> Iterator[str]:
    """Writes a configuration document to a file; yields its path."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(document, file)
        file.flush()
        yield file.name


def apply(
    entry: cluster.Entry, document: dict[str, Any], *options: str
) -> tuple[int, Any]:
    """Runs `anvilctl config apply` at one entry."""
    with document_file(document) as path:
        return anvilctl(entry, "config", "apply", path, *options)


def table_row(site: cluster.Site) -> dict[str, Any]:
    """The configuration row as the platform keeps it."""
    url = f"http://{site.platform}/table/configuration"
    return site.http.request("GET", url, timeout=10.0).json()


def in_force(site: cluster.Site, entry: cluster.Entry) -> dict[str, Any]:
    """Version and preset in force at an entry."""
    return site.operator_request("GET", entry, "/v1/status").json()[
        "configuration"
    ]
