"""Starts a small site on loopback: platform, targets and entry daemons.

Every member is a process of its own, so that tests can stop, kill and suspend
them with real signals.
"""

import contextlib
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
from typing import Any

import attrs
import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_TOKEN = "caller-token-for-loopback"
OTHER_CALLER_TOKEN = "other-caller-token-for-loopback"
OPERATOR_TOKEN = "operator-token-for-loopback"
OTHER_OPERATOR_TOKEN = "other-operator-token-for-loopback"
PEER_TOKEN = "peer-token-for-loopback"
SERVICE = "line-brain"
START_LIMIT_S = 20.0
# Below the range from which the system takes ports of outgoing connections;
# one of those took a port between its choice and the start of a daemon.
PORTS = (10_000, 32_768)
_handed_out: set[int] = set()


def free_address() -> str:
    """Finds a free port on loopback that was not handed out before."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _handed_out:
                _handed_out.add(port)
                return f"127.0.0.1:{port}"


@attrs.define(eq=False)
class SiteProcess:
    """One process of the site.

    Attributes:
        name: Used for its log file.
        process: The running process.
        log: File that receives its output.
    """

    name: str
    popen: subprocess.Popen
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self.popen.send_signal(number)

    def wait(self, timeout: float = 30.0) -> int:
        """Waits for the end; returns the exit status."""
        return self.popen.wait(timeout)

    def kill(self) -> None:
        """Ends the process if it still runs; also a suspended one."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


@attrs.define(eq=False)
class Entry:
    """An entry daemon.

    Attributes:
        zone: Availability zone.
        callers: Address of the callers' listener.
        operators: Address of the operators' listener.
        peers: Address of the peers' listener.
        settings: Path of its settings file.
        process: The running process.
    """

    zone: str
    callers: str
    operators: str
    peers: str
    settings: pathlib.Path
    process: SiteProcess


class Site:
    """A context manager that owns every process of a small site.

    Attributes:
        zones: Names of the availability zones.
        entries_per_zone: Entry daemons in each zone.
        targets_per_zone: Targets in each zone.
        settings_overrides: Settings that replace the defaults, by group.
        target_options: Options of `standins.target` for every target.
        http: Client for all requests of the tests.
        entries: Running entry daemons.
        targets: Address and process of each target, by VM id.
        platform: Address of the platform.
        platform_process: Process of the platform.
    """

    def __init__(
        self,
        zones: tuple[str, ...] = ("quimper-a",),
        entries_per_zone: int = 1,
        targets_per_zone: int = 2,
        settings_overrides: dict[str, dict[str, Any]] | None = None,
        target_options: tuple[str, ...] = (),
    ):
        self.zones = zones
        self.entries_per_zone = entries_per_zone
        self.targets_per_zone = targets_per_zone
        self.settings_overrides = settings_overrides or {}
        self.target_options = target_options
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.entries: list[Entry] = []
        self.targets: dict[str, tuple[str, SiteProcess]] = {}
        self.platform = ""
        self.platform_process: SiteProcess | None = None
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path()
        self._seeds: list[str] = []

    def __enter__(self) -> "Site":
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self._folder = pathlib.Path(folder)
            stack.callback(self.http.clear)
            self._stack = stack
            self._start_all()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def _start_all(self) -> None:
        self.platform = free_address()
        self.platform_process = self._start(
            "platform", "standins.platform", "--address", self.platform
        )
        targets = [
            (f"target-{zone}-{index}", zone)
            for zone in self.zones
            for index in range(self.targets_per_zone)
        ]
        for vm_id, _ in targets:
            self._launch_target(vm_id)
        self._wait_http(self.platform, "/vms")
        for vm_id, zone in targets:
            self._list_target(vm_id, zone, SERVICE)
        self.put_configuration({"preset": "ordinary"})
        planned = [
            (zone, free_address())
            for zone in self.zones
            for _ in range(self.entries_per_zone)
        ]
        self._seeds = [peers for _, peers in planned]
        for zone, peers in planned:
            self.entries.append(self.start_entry(zone, peers))
        for entry in self.entries:
            self.wait_ready(entry)

    def start_target(
        self, vm_id: str, zone: str, *options: str, service: str = SERVICE
    ) -> None:
        """Starts a target and lists it."""
        self._launch_target(vm_id, *options)
        self._list_target(vm_id, zone, service)

    def _launch_target(self, vm_id: str, *options: str) -> None:
        address = free_address()
        member = self._start(
            vm_id,
            "standins.target",
            "--address",
            address,
            "--id",
            vm_id,
            *self.target_options,
            *options,
        )
        self.targets[vm_id] = (address, member)

    def _list_target(self, vm_id: str, zone: str, service: str) -> None:
        address, _ = self.targets[vm_id]
        self._wait_http(address, "/stats")
        self.list_vm(vm_id, "target", zone, address, service)

    def start_entry(self, zone: str, peers: str) -> Entry:
        """Starts an entry daemon and lists it."""
        entry = Entry(
            zone,
            free_address(),
            free_address(),
            peers,
            self._folder / f"entry-{len(self.entries)}-{peers}.json",
            None,
        )
        entry.settings.write_text(json.dumps(self.settings_for(entry)))
        entry.process = self._start(
            f"entry-{peers}", "anvilford.daemon", str(entry.settings)
        )
        self.list_vm(f"entry-{peers}", "entry", zone, peers, "")
        return entry

    def settings_for(self, entry: Entry) -> dict[str, Any]:
        """Settings of one entry daemon."""
        settings: dict[str, Any] = {
            "vm": {"zone": entry.zone},
            "listen": {
                "callers": entry.callers,
                "operators": entry.operators,
                "peers": entry.peers,
            },
            "platform": {"address": self.platform},
            "peers": {
                "token": PEER_TOKEN,
                "seeds": [s for s in self._seeds if s != entry.peers],
            },
            "callers": [
                {"name": "line-1", "token": CALLER_TOKEN},
                {"name": "line-2", "token": OTHER_CALLER_TOKEN},
            ],
            "operators": [
                {"name": "operator", "token": OPERATOR_TOKEN},
                {"name": "other-operator", "token": OTHER_OPERATOR_TOKEN},
            ],
            "http": {"threads": 32},
            "targets": {"threads": 64},
            "drain": {"notice_ms": 300},
            "trace": {"ratio": 1.0},
        }
        for group, values in self.settings_overrides.items():
            settings[group] = settings.get(group, {}) | values
        return settings

    def list_vm(
        self,
        vm_id: str,
        role: str,
        zone: str,
        address: str,
        service: str,
        state: str = "live",
    ) -> None:
        """Puts a VM into the platform's list."""
        document = {
            "role": role,
            "zone": zone,
            "address": address,
            "state": state,
            "service": service,
        }
        self.put(self.platform, f"/vms/{vm_id}", document)

    def put_configuration(self, document: dict[str, Any]) -> None:
        """Writes the first configuration row."""
        row = {
            "document": document,
            "operation": "first",
            "author": "setup",
            "history": [
                {
                    "version": 1,
                    "operation": "first",
                    "author": "setup",
                    "preset": document["preset"],
                }
            ],
        }
        self.put(
            self.platform, "/table/configuration", row, {"If-Match": '"0"'}
        )

    def put(
        self,
        address: str,
        path: str,
        document: Any,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a JSON document to a stand-in."""
        response = self.http.request(
            "PUT", f"http://{address}{path}", json=document, headers=headers
        )
        assert response.status < 300, response.data
        return response

    def set_faults(self, address: str, **faults: Any) -> None:
        """Switches faults of a stand-in on or off."""
        self.put(address, "/faults", faults)

    def task_starts(self) -> list[dict[str, Any]]:
        """Every start seen by any target that still runs."""
        found = []
        for address, member in self.targets.values():
            if member.popen.poll() is None:
                url = f"http://{address}/log"
                found += self.http.request("GET", url).json()
        return found

    def caller_request(
        self,
        method: str,
        entry: Entry,
        path: str,
        document: Any = None,
        token: str = CALLER_TOKEN,
        timeout: float = 30.0,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a caller's request."""
        return self.http.request(
            method,
            f"http://{entry.callers}/v1/{path}",
            json=document,
            headers={"Authorization": f"Bearer {token}"},
            timeout=timeout,
        )

    def issue_submission_ids(self, entry: Entry, count: int = 1) -> list[str]:
        """Obtains submission ids."""
        path = f"submission-ids?count={count}"
        return self.caller_request("POST", entry, path).json()["ids"]

    def submit(
        self, entry: Entry, submission_id: str, job: dict[str, Any]
    ) -> dict[str, Any]:
        """Submits a job and returns the body of the answer."""
        path = f"submissions/{submission_id}"
        return self.caller_request("PUT", entry, path, job).json()

    def operator_request(
        self, method: str, entry: Entry, path: str, document: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Sends an operator's request."""
        return self.http.request(
            method,
            f"http://{entry.operators}{path}",
            json=document,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def wait_ready(self, entry: Entry) -> None:
        """Waits until an entry serves callers and operators."""
        self._wait_http(entry.callers, "/v1/ready", entry.process)
        # The operators' listener is started after the callers'.
        self._wait_http(entry.operators, "/v1/status", entry.process)

    def _start(self, name: str, module: str, *arguments: str) -> SiteProcess:
        log = self._folder / f"{name}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        member = SiteProcess(name, process, log)
        self._stack.callback(member.kill)
        return member

    def _wait_http(
        self, address: str, path: str, member: SiteProcess | None = None
    ) -> None:
        end = time.monotonic() + START_LIMIT_S
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        while time.monotonic() < end:
            if member is not None and member.popen.poll() is not None:
                raise RuntimeError(member.log.read_text())
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                url = f"http://{address}{path}"
                response = self.http.request(
                    "GET", url, headers=headers, timeout=1.0
                )
                if response.status == 200:
                    return
            time.sleep(0.05)
        text = member.log.read_text() if member else ""
        raise TimeoutError(f"{address} does not answer: {text}")


def job_document(
    count: int = 1, run_ms: float = 50, deadline_ms: int = 5000, **changes: Any
) -> dict[str, Any]:
    """A job whose tasks carry an `echo` that tells them apart."""
    return {
        "service": SERVICE,
        "deadline_ms": deadline_ms,
        "tasks": [
            {
                "operation": "check",
                "payload": {"run_ms": run_ms, "echo": index},
            }
            for index in range(count)
        ],
    } | changes


SUSPEND = signal.SIGSTOP
RESUME = signal.SIGCONT
