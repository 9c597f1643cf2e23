"""Runs a site on loopback: store, targets and real entry processes.

Store and targets are test doubles that run in the calling process.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable

import attrs

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.order_model import overlapping_tasks
from standins.ports import reserve_addresses
from standins.rows import RowStore
from standins.runner import FakeTargetServer

HOST = "queue.example"
SERVICE = "line"
ZONES = ("a", "b")
READY_TIMEOUT_S = 20.0
# Pause after the start of an entry, in seconds, in which the event loop handles
# what has arrived. 48 starts without one took 4.8 s at load 28.
START_PAUSE_S = 0.01
# Length of the end of a log that an error message shows.
LOG_TAIL_CHARACTERS = 2000


@attrs.define
class EntryProcess:
    """A real entry process, which can be started and ended repeatedly.

    Attributes:
        name: VM id of the entry.
        caller_address: "IP:port" of the listener for callers.
        ready_address: "IP:port" of the readiness check.
        metrics_address: "IP:port" of metrics and operator requests.
        peer_address: "IP:port" of the listener for other entries.
        settings_path: Path of the settings file.
        log_path: Path of the file that receives the output of all its starts.
        module: Python module that is run.
        process: Handle of the process; None before the start and after `stop`.
    """

    name: str
    caller_address: str
    ready_address: str
    metrics_address: str
    peer_address: str
    settings_path: pathlib.Path
    log_path: pathlib.Path
    module: str = "anvilford.node"
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process and appends its output to the log."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, str(self.settings_path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                # In the session of the tests, the kernel would send SIGHUP to
                # a suspended process when the shell that started them exits.
                start_new_session=True,
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def stop(self, number: int = signal.SIGKILL) -> None:
        """Sends a signal that ends the process and waits for its exit.

        A suspended process is resumed first.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        if self.process is not None:
            self.process.wait()
            self.process = None

    def log_records(self) -> list[dict]:
        """Returns the decoded JSON lines of the log."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [json.loads(t) for t in text.splitlines() if t.startswith("{")]


class LoopbackSite:
    """Site of a store, targets and entries; an async context manager.

    Attributes:
        entry_count: Number of entries.
        target_count: Number of targets.
        store: Test double of the metadata store.
        store_address: Address at which entries reach it; set on entry.
        targets: Test doubles of the targets.
        entries: Entry processes by name.
        http: HTTP client for callers' requests.
        cores: Cores of entries by name; others have 1.0.
        entry_zones: Zone of each entry.
        target_zones: Zone of each target.
        wrap_store_address: Coroutine function that receives the address of the
            store and returns the one for the entries, such as a proxy's.
            Callers may replace it before entry.
        wrap_target_address: The same for the address of each target.
        entry_module: Python module that runs an entry.
        before_start: Called when all entries are configured, before they start.
    """

    def __init__(
        self,
        entries: int = 3,
        targets: int = 4,
        cores: dict[str, float] | None = None,
    ):
        self.entry_count = entries
        self.cores = cores or {}
        self.entry_zones = [ZONES[n % 2] for n in range(entries)]
        self.target_zones = [ZONES[n % 2] for n in range(targets)]
        self.target_count = targets
        self.store = RowStore()
        self.store_address = ""
        self.targets: list[FakeTargetServer] = []
        self.entries: dict[str, EntryProcess] = {}
        self.http = HttpClient()
        # The soak test replaces the two address functions, so that entries
        # connect to the store and to the targets through proxies.
        self.wrap_store_address = _unchanged
        self.wrap_target_address = _unchanged
        self.entry_module = "anvilford.node"
        self.before_start = lambda: None
        self._ids = itertools.count(1)
        self._start_lock = asyncio.Lock()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "LoopbackSite":
        async with contextlib.AsyncExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            stack.enter_context(self.http)
            await stack.enter_async_context(self.store)
            self.put_configuration(1)
            for n in range(self.target_count):
                target = FakeTargetServer(
                    f"t{n}", self.target_zones[n], SERVICE
                )
                await stack.enter_async_context(target)
                target.address = await self.wrap_target_address(target.address)
                target.register(self.store)
                self.targets.append(target)
            store = await self.wrap_store_address(self.store.address)
            self.store_address = store
            for n in range(self.entry_count):
                entry = self._configure_entry(n, folder, store, stack)
                self.entries[entry.name] = entry
            self.before_start()
            for entry in self.entries.values():
                stack.callback(entry.stop)
                await self.start_entry(entry)
            await self.wait_ready(*self.entries)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def start_entry(self, entry: EntryProcess) -> None:
        """Starts an entry that does not run; then serves store and targets.

        Each start blocks this process, which carries them, until the new one
        runs. With dozens of starts in a row they would not answer for seconds.
        """
        async with self._start_lock:
            if entry.process is None or entry.process.poll() is not None:
                entry.start()
                await asyncio.sleep(START_PAUSE_S)

    def put_configuration(
        self, version: int, prefix: str = "/jobs/", more: Iterable[str] = ()
    ) -> None:
        """Writes a configuration to the store.

        Args:
            version: Version of the configuration.
            prefix: Path prefix of the queue.
            more: Path prefixes of further routes to the same queue.
        """
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": "jobs",
                        "host": HOST,
                        "path_prefix": path_prefix,
                        "service": SERVICE,
                        "priority": 0,
                        "max_attempts": 3,
                        "stretch": 1.6,
                        "target_latency_ms": 500,
                        "timeout_ms": 5000,
                    }
                    for path_prefix in (prefix, *more)
                ],
                "services": [],
                "limits": {},
            },
        )

    async def wait_ready(self, *names: str) -> None:
        """Waits until the named entries report that they are ready.

        Raises:
            TimeoutError: One is not ready within `READY_TIMEOUT_S`.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > end:
                    log = self.entries[name].log_path.read_text(
                        "utf-8", "replace"
                    )
                    raise TimeoutError(
                        f"{name} is not ready after {READY_TIMEOUT_S} s; "
                        f"end of its log: {log[-LOG_TAIL_CHARACTERS:]}"
                    )
                await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Returns whether an entry reports that it is ready."""
        answer = await self.http.call(
            self.entries[name].ready_address, "GET /v1/ready", b"", 0.5
        )
        return isinstance(answer, ClientResponse) and answer.status == 200

    def new_job_id(self) -> str:
        """Returns a job id that was not used before at this site."""
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
        """Submits a job as a caller does and waits for the answer.

        Args:
            entry: Name of the entry.
            job_id: Job id.
            seconds: Run time of each task.
            tasks: Number of tasks.
            timeout: Deadline of the job and time limit of the call, seconds.
            **fields: Fields that replace those of the job document.
        """
        spec = json.dumps({"seconds": seconds, "cpu": 6800})
        step = {
            "count": tasks,
            "cpu": 6800,
            "mem_mb": 64,
            "estimate_ms": int(seconds * 1000),
        }
        body = {"spec": spec, "steps": [step], "best_effort": True, **fields}
        return await self.http.call(
            self.entries[entry].caller_address,
            f"POST /jobs/{job_id}",
            json.dumps(body).encode(),
            timeout,
            f"Host: {HOST}\r\nX-Anvilford-Deadline-Ms: {int(timeout * 1000)}\r\n",
        )

    async def has_route(self, entry: str, prefix: str) -> bool:
        """Returns whether an entry has a queue for a path prefix."""
        answer = await self.http.call(
            self.entries[entry].caller_address,
            f"GET {prefix}",
            b"",
            1.0,
            f"Host: {HOST}\r\n",
        )
        return isinstance(answer, ClientResponse) and answer.status == 200

    def find_overlapping_tasks(self) -> list[str]:
        """Returns the tasks of which two runs overlapped in time."""
        targets = [server.target for server in self.targets]
        for target in targets:
            target.advance(time.monotonic())
        return overlapping_tasks(targets)

    def leader_name(self) -> str | None:
        """Returns the leader's name in the store; None without a leader."""
        row = self.store.get("anvilford", "leader")
        return row["leader"]["name"] if row else None

    def _configure_entry(
        self,
        number: int,
        folder: pathlib.Path,
        store: str,
        stack: contextlib.AsyncExitStack,
    ) -> EntryProcess:
        name = f"entry-{number}"
        addresses = reserve_addresses(stack, 4)
        settings = folder / f"{name}.json"
        settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "zone": self.entry_zones[number],
                    "callers": addresses[0],
                    "ready": addresses[1],
                    "peers": addresses[2],
                    "metrics": addresses[3],
                    "store": store,
                    "cores": self.cores.get(name, 1.0),
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
            addresses[2],
            settings,
            folder / f"{name}.log",
            self.entry_module,
        )


async def _unchanged(address: str) -> str:
    return address
