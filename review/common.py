"""Helpers shared by the scripts of the review cases.

A case runs real entry processes with the stand-ins of this repository for the
platform's store and the runners, plays a client that resends as the platform's
pages say, and writes what was sent, answered and run to its record.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import math
import pathlib
import sys
import time
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from standins.proxy import Proxy
from standins.site import HOST
from standins.site import LoopbackSite

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# `deadline ms` of all kinds of requests on the sheets of the sites.
CLIENT_DEADLINE_S = 1.5
# `retransmit_ms` of the sites.
RESEND_AFTER_S = 1.3
# One-way delay between zones, as on the sheet of trama-norte.
ZONE_DELAY_S = 0.0009
TASK_CPU = 6800
# A case that takes longer ends its processes and counts as not run.
LONGEST_RUN_S = 110.0


class Case:
    """One run of a case: the site, the record and the time since its start.

    Attributes:
        site: The site.
        http: Client for requests other than submissions.
        proxies: Proxies in front of the runners, by the name of the runner.
    """

    def __init__(self, site: LoopbackSite, proxies: list[Proxy], record):
        self.site = site
        self.http = HttpClient()
        self.proxies = {
            server.name: proxy
            for server, proxy in zip(site.targets, proxies, strict=True)
        }
        self._record = record
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def since_start(self, monotonic: float) -> float:
        """Converts a time of `time.monotonic` to seconds since the start."""
        return monotonic - self._started_at

    def log(self, text: str) -> None:
        """Writes a line with the time to the record."""
        self._record.write(f"{self.now:9.3f} {text}\n")

    async def sleep_until(self, moment: float) -> None:
        """Sleeps until a time in seconds since the start."""
        await asyncio.sleep(max(moment - self.now, 0.0))

    async def post(
        self,
        entry: str,
        job_id: str,
        seconds: float,
        tasks: int = 1,
        deadline_s: float = CLIENT_DEADLINE_S,
        **step_fields: object,
    ) -> ClientResponse | CallFailed:
        """Submits a job on a connection of its own and records the answer."""
        step = {
            "count": tasks,
            "cpu": TASK_CPU,
            "mem_mb": 64,
            "estimate_ms": 760,
            **step_fields,
        }
        body = {
            "spec": json.dumps({"seconds": seconds, "cpu": TASK_CPU}),
            "steps": [step],
            "best_effort": True,
        }
        self.log(f"POST {job_id} -> {entry}")
        with HttpClient() as http:
            answer = await http.call(
                self.site.entries[entry].caller_address,
                f"POST /jobs/{job_id}",
                json.dumps(body).encode(),
                deadline_s,
                f"Host: {HOST}\r\n"
                f"X-Anvilford-Deadline-Ms: {int(deadline_s * 1000)}\r\n",
            )
        self.log(f"POST {job_id} -> {entry} ended: {describe(answer)}")
        return answer

    def list_runs(self) -> dict[str, list[tuple[float, float, str, int, str]]]:
        """Returns all runs by task: start, end, target, run number, end."""
        runs = collections.defaultdict(list)
        for server in self.site.targets:
            target = server.target
            target.advance(time.monotonic())
            ends = collections.defaultdict(list)
            for at, task, run, how in target.ends:
                ends[task, run].append((at, how.value))
            for at, task, run in target.starts:
                end, how = min(
                    (e for e in ends[task, run] if e[0] >= at),
                    default=(math.inf, "running"),
                )
                runs[task].append(
                    (
                        self.since_start(at),
                        self.since_start(end),
                        server.name,
                        run,
                        how,
                    )
                )
        return {task: sorted(spans) for task, spans in runs.items()}

    def record_runs(self) -> None:
        """Writes all runs to the record."""
        for task, spans in sorted(self.list_runs().items()):
            for start, end, target, run, how in spans:
                self._record.write(
                    f"run {task} number {run} on {target}:"
                    f" {start:.3f} to {end:.3f} {how}\n"
                )

    def find_double_runs(self) -> list[str]:
        """Returns a text for each two runs of a task at the same time."""
        found = []
        for task, spans in sorted(self.list_runs().items()):
            for first, second in itertools.combinations(spans, 2):
                overlap = min(first[1], second[1]) - second[0]
                if overlap > 0:
                    found.append(
                        f"TWICE {task} on {first[2]} and {second[2]} at the"
                        f" same time for {overlap * 1000:.0f} ms"
                    )
        return found


def describe(answer: ClientResponse | CallFailed) -> str:
    """Returns a short text for the answer to a request."""
    match answer:
        case ClientResponse(status, body):
            return f"{status} {body.decode()}"
        case CallFailed(_, reason):
            return f"no answer ({reason})"


def is_final(answer: ClientResponse | CallFailed) -> bool:
    """Returns whether a client does not send the job again."""
    return isinstance(answer, ClientResponse) and answer.status not in (
        502,
        504,
    )


def run_case(
    record_path: pathlib.Path,
    site: LoopbackSite,
    play: Callable[[Case], Awaitable[list[str]]],
) -> None:
    """Plays a case and exits with the status that the review asks for.

    Args:
        record_path: File that receives the record.
        site: Site that is not entered yet; targets in every second place are
            in another zone than the others and are reached with a delay.
        play: Plays the case; returns a text for each break of the rule.
    """
    status = EXIT_NOT_RUN
    with record_path.open("w", encoding="utf-8") as record:
        try:
            broken = asyncio.run(
                asyncio.wait_for(_play(site, play, record), LONGEST_RUN_S)
            )
            for text in broken:
                record.write(text + "\n")
                print(text)
            status = EXIT_BROKEN if broken else EXIT_HELD
        except Exception:
            traceback.print_exc(file=record)
            traceback.print_exc()
        record.write(f"exit {status}\n")
    print(f"exit {status}")
    sys.exit(status)


async def _play(site: LoopbackSite, play, record) -> list[str]:
    async with contextlib.AsyncExitStack() as stack:
        proxies: list[Proxy] = []

        async def wrap_target_address(address: str) -> str:
            proxy = await stack.enter_async_context(Proxy(address))
            if len(proxies) % 2:
                proxy.delay = ZONE_DELAY_S
            proxies.append(proxy)
            return proxy.address

        site.wrap_target_address = wrap_target_address
        await stack.enter_async_context(site)
        case = Case(site, proxies, record)
        broken = await play(case)
        case.record_runs()
        return broken
