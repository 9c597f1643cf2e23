"""Load generation and checks shared by the tests of the running system.

The system is a `cluster.Site`: entry daemons, targets and a platform, each a
process on loopback.
"""

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
class SubmissionResult:
    """A submission and its answer or connection failure.

    Attributes:
        entry: The entry that the request was sent to.
        submission_id: Id of the submission.
        job: The submitted job.
        started_at: Monotonic time in seconds before the request.
        ended_at: Monotonic time in seconds after the response or failure.
        status: HTTP status; 0 without a complete response.
        body: The decoded answer; empty without a complete response.
        error: Failure of the connection; "" if there was none.
    """

    entry: cluster.Entry
    submission_id: str
    job: dict[str, Any]
    started_at: float
    ended_at: float
    status: int
    body: dict[str, Any]
    error: str = ""

    @property
    def echoes(self) -> list[str]:
        """Returns the echo of each task, which identifies it at the targets."""
        return echoes_of(self.job)

    @property
    def outcome(self) -> str:
        """Returns the outcome in the answer; "" if it has none."""
        return self.body.get("outcome", "")


def distinct_job(
    count: int = 1, run_ms: float = 50, deadline_ms: int = 8000, **changes: Any
) -> dict[str, Any]:
    """Returns a job whose tasks have echoes that no other job has.

    A task's echo is part of its payload. The targets return it in the result
    and list it in their log of starts, so it identifies the task.

    Args:
        count: Number of tasks.
        run_ms: Duration of each task in milliseconds.
        deadline_ms: Deadline of the job in milliseconds.
        **changes: Other fields, as for `cluster.job`.
    """
    made = cluster.job(count, run_ms, deadline_ms, **changes)
    key = next(_KEYS)
    for index, task in enumerate(made["tasks"]):
        task["payload"]["echo"] = f"{key}-{index}"
    return made


def echoes_of(job: dict[str, Any]) -> list[str]:
    """Returns the echo of each task of a job."""
    return [task["payload"]["echo"] for task in job["tasks"]]


def submit_with_id(
    site: cluster.Site, entry: cluster.Entry, submission_id: str, job: Any
) -> SubmissionResult:
    """Submits a job; returns the answer or the failure of the connection."""
    started_at = time.monotonic()
    path = f"submissions/{submission_id}"
    try:
        reply = site.caller("PUT", entry, path, job)
        status, body, error = reply.status, reply.json(), ""
    except (urllib3.exceptions.HTTPError, ValueError) as failure:
        status, body, error = 0, {}, repr(failure)
    ended_at = time.monotonic()
    return SubmissionResult(
        entry, submission_id, job, started_at, ended_at, status, body, error
    )


def submit(
    site: cluster.Site, entry: cluster.Entry, job: Any
) -> SubmissionResult:
    """Submits a job with a new id that the same entry issued."""
    return submit_with_id(site, entry, site.issue(entry)[0], job)


@attrs.define(eq=False)
class LoadGenerator:
    """Submits jobs from several threads; a context manager.

    Each thread submits one job at a time, to the entries in turn. Like a load
    balancer, it stops using an entry that issues no more ids or accepts no
    connection.

    Attributes:
        site: The running system.
        entries: Entries to submit to.
        make_job: Returns a new job for each submission.
        threads: Number of threads.
        results: Results of the submissions in the order of their ends.
        abandoned_entries: Entries that a thread stopped using, one item per
            entry and thread.
        failures: Errors of requests for ids, other than from an entry that is
            draining or accepts no connection.
    """

    site: cluster.Site
    entries: list[cluster.Entry]
    make_job: Callable[[], dict[str, Any]] = distinct_job
    threads: int = 8
    results: list[SubmissionResult] = attrs.field(factory=list)
    abandoned_entries: list[cluster.Entry] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    _stop_requested: threading.Event = attrs.field(factory=threading.Event)
    _running_threads: list[threading.Thread] = attrs.field(factory=list)

    def __enter__(self) -> "LoadGenerator":
        for number in range(self.threads):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self._running_threads.append(thread)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stop_requested.set()
        for thread in self._running_threads:
            thread.join()

    def _run(self, number: int) -> None:
        entries = list(self.entries)
        for turn in itertools.count(number):
            if self._stop_requested.is_set() or not entries:
                return
            entry = entries[turn % len(entries)]
            submission_id = self._issue(entry)
            if submission_id is None:
                entries.remove(entry)
                self.abandoned_entries.append(entry)
                continue
            sent = submit_with_id(
                self.site, entry, submission_id, self.make_job()
            )
            self.results.append(sent)

    def _issue(self, entry: cluster.Entry) -> str | None:
        try:
            reply = self.site.caller("POST", entry, "submission-ids")
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
class BackgroundSubmission:
    """Submits one job in a thread; a context manager.

    Leaving the context waits for the answer.

    Attributes:
        site: The running system.
        entry: The entry that the job is submitted to.
        job: The job.
        submission_id: Id of the submission; if empty, the entry issues one.
        result: Result of the submission; None until the answer arrived.
    """

    site: cluster.Site
    entry: cluster.Entry
    job: dict[str, Any]
    submission_id: str = ""
    result: SubmissionResult | None = None
    _thread: threading.Thread | None = None

    def __enter__(self) -> "BackgroundSubmission":
        if not self.submission_id:
            self.submission_id = self.site.issue(self.entry)[0]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._thread.join()

    def _run(self) -> None:
        self.result = submit_with_id(
            self.site, self.entry, self.submission_id, self.job
        )


def starts_by_echo(site: cluster.Site) -> collections.Counter:
    """Counts the starts of each task, by echo, at the running targets."""
    return collections.Counter(start["echo"] for start in site.starts())


def all_started(site: cluster.Site, job: dict[str, Any]) -> bool:
    """Returns whether every task of a job has started."""
    return not set(echoes_of(job)) - starts_by_echo(site).keys()


def check_answers(case, sent: list[SubmissionResult]) -> None:
    """Checks that every answer arrived and has all results of its own job.

    An answer other than `complete` must have no results.
    """
    for one in sent:
        case.assertEqual(one.error, "", one)
        if one.outcome == "complete":
            results = [result["echo"] for result in one.body["results"]]
            case.assertEqual(results, one.echoes)
        else:
            case.assertIn(one.outcome, ("failed", "not_run"), one)
            case.assertNotIn("results", one.body)


def check_starts(
    case, site: cluster.Site, sent: list[SubmissionResult]
) -> None:
    """Checks the answers against the targets' logs of starts.

    Each task must have started once if its job is `complete`, never if it is
    `not_run`, and at most once otherwise.
    """
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
    """Waits until a condition returns a true value, which is returned.

    Args:
        case: The test case, which fails after the limit.
        condition: Called every 50 ms.
        limit: Longest wait in seconds.
    """
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            case.fail(f"condition not met within {limit} s; last {value!r}")
        time.sleep(0.05)


@contextlib.contextmanager
def suspended(*members: cluster.Member) -> Iterator[None]:
    """Suspends processes for the duration of the context."""
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
    """Waits for `anvilctl`; returns its exit status and JSON output."""
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


def apply_configuration(
    entry: cluster.Entry, document: dict[str, Any], *options: str
) -> tuple[int, Any]:
    """Runs `anvilctl config apply`; returns exit status and JSON output."""
    with document_file(document) as path:
        return anvilctl(entry, "config", "apply", path, *options)


def configuration_row(site: cluster.Site) -> dict[str, Any]:
    """Returns the configuration row that the platform stores."""
    url = f"http://{site.platform}/table/configuration"
    return site.http.request("GET", url, timeout=10.0).json()


def configuration_in_force(
    site: cluster.Site, entry: cluster.Entry
) -> dict[str, Any]:
    """Returns the description of the configuration in force at an entry."""
    return site.operator("GET", entry, "/v1/status").json()["configuration"]
