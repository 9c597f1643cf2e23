"""Sends jobs to entry daemons, and the same tasks directly to a target."""

import argparse
import asyncio
import collections
import itertools
import random
import urllib.parse
from typing import Any

import attrs

from benchmarks._http import ConnectError
from benchmarks._http import ConnectionLostError
from benchmarks._http import ConnectionPool
from benchmarks._http import Response
from benchmarks._measures import LoadStatistics

IDS_PER_REQUEST = 64
# Callers wait this much longer than the deadline, at which the daemon answers
# at the latest, so that this last answer can still arrive.
ANSWER_GRACE_S = 1.0
# Largest number of times that a job is sent. If its answer was lost, it is sent
# again under the same id, as real callers do.
MAX_SUBMISSIONS = 2


@attrs.frozen
class JobPlan:
    """Size of one job to send.

    Attributes:
        run_ms: Run time of each task, in milliseconds.
        tasks: Number of tasks.
        is_long: Whether the job belongs to the share of long jobs.
    """

    run_ms: float
    tasks: int
    is_long: bool

    @property
    def latency_kind(self) -> str:
        """Name of the latency histogram for the job's complete answer."""
        return "complete_long" if self.is_long else "complete_short"


def draw_job_plan(arguments: argparse.Namespace, rng: random.Random) -> JobPlan:
    """Draws at random whether the next job is long, and returns its plan."""
    is_long = rng.random() < arguments.long_share
    factor = arguments.long_factor if is_long else 1.0
    return JobPlan(arguments.run_ms * factor, arguments.tasks, is_long)


class EntryLoad:
    """Submits jobs to several entry daemons in rotation.

    Attributes:
        entries: Connection pool for the callers' listener of each daemon.
        token: Bearer token of the caller.
        service: Service of all jobs.
        operation: Operation of all tasks.
        deadline_ms: Deadline of the jobs in milliseconds.
        statistics: Outcomes and latencies so far.
    """

    def __init__(
        self,
        entries: list[ConnectionPool],
        token: str,
        service: str,
        operation: str,
        deadline_ms: int,
        statistics: LoadStatistics,
    ):
        self.entries = entries
        self.token = token
        self.service = service
        self.operation = operation
        self.deadline_ms = deadline_ms
        self.statistics = statistics
        self._sequence = itertools.count()
        self._unused_ids = [collections.deque() for _ in entries]
        self._id_locks = [asyncio.Lock() for _ in entries]

    @property
    def timeout(self) -> float:
        """Time in seconds that a caller waits for an answer."""
        return self.deadline_ms / 1000 + ANSWER_GRACE_S

    async def run(self, plan: JobPlan, arrival: float) -> None:
        """Submits one job and records its outcome and latency.

        Args:
            plan: Size of the job.
            arrival: Event-loop time in seconds from which latency counts.
        """
        loop = asyncio.get_running_loop()
        number = next(self._sequence)
        index = number % len(self.entries)
        self.statistics.record_arrival(arrival)
        submission_id = await self._next_submission_id(index)
        if submission_id is None:
            self.statistics.counts["no_id"] += 1
            return
        echoes = [f"{number}/{task}" for task in range(plan.tasks)]
        response = await self._submit(
            index, submission_id, self._make_job(plan, echoes)
        )
        if response is None:
            self.statistics.counts["lost"] += 1
            return
        outcome = _classify_response(response, echoes)
        self.statistics.counts[outcome] += 1
        kind = plan.latency_kind if outcome == "complete" else outcome
        self.statistics.record_latency(kind, arrival, loop.time())

    def report(self) -> dict[str, Any]:
        """Returns the statistics, connection events and absence of faults."""
        connections = [
            {"address": e.address, **attrs.asdict(e.counts)}
            for e in self.entries
        ]
        counts = self.statistics.counts
        resets = sum(c["resets"] + c["timeouts"] for c in connections)
        faults = resets + counts["lost"] + counts["wrong"] + counts["no_id"]
        return {
            "faultless": faults == 0,
            **self.statistics.report(),
            "connections": connections,
        }

    def _make_job(self, plan: JobPlan, echoes: list[str]) -> dict[str, Any]:
        tasks = [
            {
                "operation": self.operation,
                "payload": {"run_ms": plan.run_ms, "echo": echo},
                "declared_ms": plan.run_ms,
            }
            for echo in echoes
        ]
        return {
            "service": self.service,
            "repeatable": True,
            "deadline_ms": self.deadline_ms,
            "tasks": tasks,
        }

    async def _submit(
        self, index: int, submission_id: str, job: dict[str, Any]
    ) -> Response | None:
        path = "/v1/submissions/" + urllib.parse.quote(submission_id, safe="")
        for submission in range(MAX_SUBMISSIONS):
            if submission:
                self.statistics.counts["resubmitted"] += 1
            try:
                return await self._request(index, "PUT", path, job)
            except (ConnectError, ConnectionLostError, TimeoutError):
                continue
        return None

    async def _next_submission_id(self, index: int) -> str | None:
        """Returns an unused submission id issued by the daemon with this index.

        A daemon does not forward jobs under its own ids. Returns None if the
        daemon issued no ids.
        """
        ids = self._unused_ids[index]
        async with self._id_locks[index]:
            if not ids:
                path = f"/v1/submission-ids?count={IDS_PER_REQUEST}"
                try:
                    response = await self._request(index, "POST", path, {})
                except (ConnectError, ConnectionLostError, TimeoutError):
                    return None
                document = response.json()
                if response.status >= 300 or not isinstance(document, dict):
                    return None
                ids.extend(document.get("ids", ()))
            return ids.popleft() if ids else None

    async def _request(
        self, index: int, method: str, path: str, document: Any
    ) -> Response:
        headers = {"Authorization": f"Bearer {self.token}"}
        return await self.entries[index].request(
            method, path, headers, document, self.timeout
        )


class DirectLoad:
    """Sends the first task of each job to one target, as a baseline.

    Attributes:
        target: Connection pool for the target.
        operation: Operation of all tasks.
        deadline_ms: Lease of the tasks in milliseconds.
        statistics: Outcomes and latencies so far.
    """

    def __init__(
        self,
        target: ConnectionPool,
        operation: str,
        deadline_ms: int,
        statistics: LoadStatistics,
    ):
        self.target = target
        self.operation = operation
        self.deadline_ms = deadline_ms
        self.statistics = statistics

    async def run(self, plan: JobPlan, arrival: float) -> None:
        """Runs one task and records its outcome and latency.

        Args:
            plan: Size of the job whose first task is run.
            arrival: Event-loop time in seconds from which latency counts.
        """
        loop = asyncio.get_running_loop()
        self.statistics.record_arrival(arrival)
        attempt = f"direct/{self.statistics.sent}"
        headers = {
            "Anvilford-Attempt": attempt,
            "Anvilford-Lease-Ms": str(self.deadline_ms),
        }
        payload = {"run_ms": plan.run_ms, "echo": attempt}
        document = {"operation": self.operation, "payload": payload}
        timeout = self.deadline_ms / 1000 + ANSWER_GRACE_S
        try:
            response = await self.target.request(
                "POST", "/v1/tasks", headers, document, timeout
            )
        except (ConnectError, ConnectionLostError, TimeoutError):
            self.statistics.counts["lost"] += 1
            return
        outcome = (
            "complete" if response.status == 200 else f"http_{response.status}"
        )
        self.statistics.counts[outcome] += 1
        kind = plan.latency_kind if outcome == "complete" else outcome
        self.statistics.record_latency(kind, arrival, loop.time())

    def report(self) -> dict[str, Any]:
        """Returns statistics and connection events."""
        connections = attrs.asdict(self.target.counts)
        return {**self.statistics.report(), "connections": connections}


def _classify_response(response: Response, echoes: list[str]) -> str:
    """Returns the outcome of a job, for its counter.

    Args:
        response: Response to the submission.
        echoes: Values that the results must echo, in the order of the tasks.

    Returns:
        The outcome in the answer, "http_" and the status if there is none, or
        "wrong" if a complete answer lacks results or has those of another job.
    """
    document = response.json()
    if not isinstance(document, dict) or "outcome" not in document:
        return f"http_{response.status}"
    if document["outcome"] != "complete":
        return str(document["outcome"])
    results = document.get("results")
    if not isinstance(results, list):
        return "wrong"
    got = [r.get("echo") if isinstance(r, dict) else None for r in results]
    return "complete" if got == echoes else "wrong"
