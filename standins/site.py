"""A whole site on loopback: store, targets, and real entry processes."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.order_model import overlapping_tasks
from standins.rows import RowStore
from standins.runner import RunnerStandin

HOST = "queue.example"
SERVICE = "line"
ZONES = ("a", "b")
READY_TIMEOUT_S = 20.0
# Below the range from which the kernel takes ports for outgoing connections,
# which could take a port between its choice and the entry's start.
ENTRY_PORTS = (20_000, 32_000)
LOG_TAIL = 2000


@attrs.define
class EntryProcess:
    """A real entry process.

    Attributes:
        name: Name of its VM.
        callers: Address for callers.
        ready: Address of its readiness.
        metrics: Address of its metrics.
        settings: Path of its settings.
        log: Path of what it writes.
        module: Module that runs it.
        process: The process, or None while it is stopped.
    """

    name: str
    callers: str
    ready: str
    metrics: str
    settings: pathlib.Path
    log: pathlib.Path
    module: str = "anvilford.node"
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, str(self.settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process, which this object started."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self, number: int = signal.SIGKILL) -> None:
        """Ends the process and waits for it."""
        self.send(signal.SIGCONT)
        self.send(number)
        if self.process is not None:
            self.process.wait()
            self.process = None

    def lines(self) -> list[dict]:
        """Its log lines."""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return [json.loads(t) for t in text.splitlines() if t.startswith("{")]


class LoopbackSite:
    """Store, targets and entries; an async context manager.

    Attributes:
        store: The store.
        runners: Targets.
        entries: Entry processes by name.
        http: Client for callers' requests.
        store_address: Returns the address by which entries reach the store.
        runner_address: The same for a target.
        entry_module: Module that runs an entry.
    """

    def __init__(self, entries: int = 3, runners: int = 4):
        self.entry_count = entries
        self.runner_count = runners
        self.store = RowStore()
        self.runners: list[RunnerStandin] = []
        self.entries: dict[str, EntryProcess] = {}
        self.http = HttpClient()
        # A soak puts proxies before the store and the targets.
        self.store_address = _unchanged
        self.runner_address = _unchanged
        self.entry_module = "anvilford.node"
        self._ids = itertools.count(1)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "LoopbackSite":
        async with contextlib.AsyncExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            stack.enter_context(self.http)
            await stack.enter_async_context(self.store)
            self.put_configuration(1)
            for n in range(self.runner_count):
                runner = RunnerStandin(f"t{n}", ZONES[n % 2], SERVICE)
                await stack.enter_async_context(runner)
                runner.address = await self.runner_address(runner.address)
                runner.register(self.store)
                self.runners.append(runner)
            store = await self.store_address(self.store.address)
            for n in range(self.entry_count):
                entry = self._make_entry(n, folder, store, stack)
                self.entries[entry.name] = entry
                stack.callback(entry.end)
                entry.start()
            await self.wait_ready(*self.entries)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def put_configuration(self, version: int, prefix: str = "/jobs/") -> None:
        """Puts a configuration with one queue in force."""
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": "jobs",
                        "host": HOST,
                        "path_prefix": prefix,
                        "service": SERVICE,
                        "priority": 0,
                        "max_attempts": 3,
                        "stretch": 1.6,
                        "target_latency_ms": 500,
                        "timeout_ms": 5000,
                    }
                ],
                "services": [],
                "limits": {},
            },
        )

    async def wait_ready(self, *names: str) -> None:
        """Waits until entries report themselves ready.

        Raises:
            TimeoutError: One is not ready in time.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > end:
                    log = self.entries[name].log.read_text("utf-8", "replace")
                    raise TimeoutError(
                        f"{name} is not ready: {log[-LOG_TAIL:]}"
                    )
                await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Whether an entry reports itself ready."""
        answer = await self.http.call(
            self.entries[name].ready, "GET /v1/ready", b"", 0.5
        )
        return isinstance(answer, ClientResponse) and answer.status == 200

    def new_id(self) -> str:
        """A job id that was not used yet."""
        return f"{next(self._ids):016x}"

    async def submit(
        self,
        entry: str,
        job_id: str,
        seconds: float = 0.1,
        tasks: int = 2,
        timeout: float = 5.0,
        **fields: object,
    ) -> ClientResponse | CallFailed:
        """Submits a job as a caller does and waits for the answer."""
        spec = json.dumps({"seconds": seconds, "cpu": 6800})
        step = {
            "count": tasks,
            "cpu": 6800,
            "mem_mb": 64,
            "estimate_ms": int(seconds * 1000),
        }
        body = {"spec": spec, "steps": [step], "best_effort": True, **fields}
        return await self.http.call(
            self.entries[entry].callers,
            f"POST /jobs/{job_id}",
            json.dumps(body).encode(),
            timeout,
            f"Host: {HOST}\r\nX-Anvilford-Deadline-Ms: {int(timeout * 1000)}\r\n",
        )

    def overlaps(self) -> list[str]:
        """Tasks that ran twice at the same time."""
        targets = [runner.target for runner in self.runners]
        for target in targets:
            target.advance(time.monotonic())
        return overlapping_tasks(targets)

    def leader(self) -> str | None:
        """The leader that the store's row names."""
        row = self.store.get("anvilford", "leader")
        return row["leader"]["name"] if row else None

    def _make_entry(
        self,
        number: int,
        folder: pathlib.Path,
        store: str,
        stack: contextlib.AsyncExitStack,
    ) -> EntryProcess:
        name = f"entry-{number}"
        ports = reserve_ports(stack, 4)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = folder / f"{name}.json"
        settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "zone": ZONES[number % 2],
                    "callers": addresses[0],
                    "ready": addresses[1],
                    "peers": addresses[2],
                    "metrics": addresses[3],
                    "store": store,
                    "cores": 1.0,
                    "stop_grace_s": 4,
                    "max_lease_ms": 1000,
                    "stop_time_ms": 50,
                    "remote_penalty": 2,
                }
            ),
            encoding="utf-8",
        )
        return EntryProcess(
            name,
            addresses[0],
            addresses[1],
            addresses[3],
            settings,
            folder / f"{name}.log",
            self.entry_module,
        )


async def _unchanged(address: str) -> str:
    return address


def reserve_ports(
    stack: contextlib.AsyncExitStack | contextlib.ExitStack, count: int
) -> list[int]:
    """Draws ports that nobody else draws until the stack closes.

    Each port stays bound by a socket that does not listen, so that another
    site, also one of another process, draws other ports, while an entry may
    listen there.
    """
    chance = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        sock = stack.enter_context(socket.socket())
        try:
            sock.bind(("127.0.0.1", chance.randrange(*ENTRY_PORTS)))
        except OSError:
            continue  # In use; another one is drawn.
        # Set after the bind: the entry may share the port, other draws may not.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        ports.append(sock.getsockname()[1])
    return ports
