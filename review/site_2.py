"""A small site for the cases 6 to 10: entry processes, targets and a store.

The entries are real processes, started as the deploy file starts them. Targets
and store are the project's stand-ins, which run in the process of the case.
"""

import asyncio
import json
import os
import pathlib
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from standins.ports import reserve_addresses
from standins.site import EntryProcess
from standins.site import HOST
from standins.site import LoopbackSite

# Bounds of the sheet of kerlann-fill, in seconds.
CANCEL_S = 3.0
STOP_S = 0.05
DEADLINE_S = 1.5
RESEND_S = 1.3

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def has_trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class SmallSite(LoopbackSite):
    """Site whose entries have all settings of the deploy template."""

    def _configure_entry(self, number, folder, store, stack) -> EntryProcess:
        name = f"entry-{number}"
        addresses = reserve_addresses(stack, 4)
        settings = folder / f"{name}.json"
        document = {
            "name": name,
            "zone": self.entry_zones[number],
            "callers": addresses[0],
            "ready": addresses[1],
            "peers": addresses[2],
            "metrics": addresses[3],
            "store": store,
            "cores": 2,
            "cpu_share": 0.537,
            "stop_grace_s": 6,
            "max_lease_ms": 1000,
            "stop_time_ms": 50,
            "resubmit_pause_ms": 1300,
            "remote_penalty": 2,
        }
        settings.write_text(json.dumps(document), encoding="utf-8")
        return EntryProcess(
            name,
            addresses[0],
            addresses[1],
            addresses[3],
            addresses[2],
            settings,
            folder / f"{name}.log",
        )

    async def cancel(self, entry: str, job_id: str) -> int:
        """Sends DELETE for a job; returns the status, 0 without an answer."""
        answer = await self.http.call(
            self.entries[entry].caller_address,
            f"DELETE /jobs/{job_id}",
            b"",
            1.0,
            f"Host: {HOST}\r\n",
        )
        return answer.status if isinstance(answer, ClientResponse) else 0

    def runs_of(self, job_id: str) -> list[dict]:
        """Returns the runs of a job as the targets saw them, by their start.

        Times are in seconds of the monotonic clock; `end` is None for a run
        that goes on.
        """
        runs = []
        for server in self.targets:
            server.target.advance(server.now())
            ends = {
                (e[1], e[2]): (e[0], e[3].value) for e in server.target.ends
            }
            for at, task, run in server.target.starts:
                if task.startswith(job_id):
                    end, how = ends.get((task, run), (None, "running"))
                    runs.append(
                        {
                            "task": task,
                            "run": run,
                            "target": server.name,
                            "start": at,
                            "end": end,
                            "how": how,
                        }
                    )
        return sorted(runs, key=lambda run: run["start"])


def describe_answer(answer: ClientResponse | CallFailed) -> str:
    """Returns the status and body of an answer, or why there is none."""
    match answer:
        case ClientResponse(status, body):
            return f"{status} {body.decode()}".strip()
        case CallFailed(reason=reason):
            return f"no answer ({reason})"


class Record:
    """Lines of a case's record, with the seconds since the start of the case.

    Attributes:
        path: File that the lines are written to.
        started_at: Monotonic time at which the case started.
        lines: The lines so far.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def since_start(self, at: float) -> float:
        """Returns a monotonic time as seconds since the start of the case."""
        return at - self.started_at

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line, with the present time unless another is given."""
        at = time.monotonic() if at is None else at
        self.lines.append(f"{self.since_start(at):8.3f}  {text}")

    def write(self) -> None:
        """Writes all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def run_case(path: pathlib.Path, play: Callable[[Record], Awaitable[int]]):
    """Plays a case, writes its record to a file and returns the exit code.

    On SIGTERM it ends the processes that the case has started.
    """
    record = Record(path)

    async def play_until_stopped() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(record)

    try:
        result = asyncio.run(play_until_stopped())
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        result = EXIT_NOT_RUN
    record.add(f"exit code {result}")
    record.write()
    return result
