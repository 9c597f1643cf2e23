"""Runs a small site on loopback: platform, targets and entry daemons.

Each of them is a process of its own, so that tests can stop, kill and suspend
it with real signals.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import attrs
import urllib3

from standins.ports import reserve_addresses

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_TOKEN = "caller-token-for-loopback"
OTHER_CALLER_TOKEN = "other-caller-token-for-loopback"
OPERATOR_TOKEN = "operator-token-for-loopback"
OTHER_OPERATOR_TOKEN = "other-operator-token-for-loopback"
PEER_TOKEN = "peer-token-for-loopback"
SERVICE = "line-brain"
START_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class SiteProcess:
    """A process of the site.

    Attributes:
        name: Name of the process and of its log file.
        popen: Handle of the process.
        log: Path of the file that receives its output.
    """

    name: str
    popen: subprocess.Popen
    log: pathlib.Path

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def wait(self, timeout: float = 30.0) -> int:
        """Waits for the process to exit and returns its exit status.

        Raises:
            subprocess.TimeoutExpired: It still runs after `timeout` seconds.
        """
        return self.popen.wait(timeout)

    def kill(self) -> None:
        """Kills the process, even a suspended one, and waits for its exit."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


@attrs.define(eq=False)
class Entry:
    """An entry daemon and its addresses.

    Attributes:
        zone: Availability zone.
        callers: "IP:port" of the listener for callers.
        operators: "IP:port" of the listener for operators.
        peers: "IP:port" of the listener for other entries.
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
    """Context manager that starts and ends all processes of a small site.

    Attributes:
        zones: Names of the availability zones.
        entries_per_zone: Number of entry daemons in each zone.
        targets_per_zone: Number of targets in each zone.
        settings_overrides: Values that replace those of `settings_for`, by
            settings group.
        target_options: Command-line options of `standins.target` for every
            target.
        http: HTTP client for all requests of the tests.
        entries: Entry daemons that were started with the site.
        targets: Address and process of each target by VM id.
        platform: "IP:port" of the platform.
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

    def reserve_address(self) -> str:
        """Reserves an "IP:port" on which a process of this site may listen."""
        (address,) = reserve_addresses(self._stack, 1)
        return address

    def _start_all(self) -> None:
        self.platform = self.reserve_address()
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
        self._wait_until_ok(self.platform, "/vms")
        for vm_id, zone in targets:
            self._list_target(vm_id, zone, SERVICE)
        self.put_configuration({"preset": "ordinary"})
        planned = [
            (zone, self.reserve_address())
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
        """Starts a target and adds it to the platform's VM list."""
        self._launch_target(vm_id, *options)
        self._list_target(vm_id, zone, service)

    def _launch_target(self, vm_id: str, *options: str) -> None:
        address = self.reserve_address()
        process = self._start(
            vm_id,
            "standins.target",
            "--address",
            address,
            "--id",
            vm_id,
            *self.target_options,
            *options,
        )
        self.targets[vm_id] = (address, process)

    def _list_target(self, vm_id: str, zone: str, service: str) -> None:
        address, _ = self.targets[vm_id]
        self._wait_until_ok(address, "/stats")
        self.list_vm(vm_id, "target", zone, address, service)

    def start_entry(self, zone: str, peers: str) -> Entry:
        """Starts an entry daemon and adds it to the platform's VM list."""
        entry = Entry(
            zone,
            self.reserve_address(),
            self.reserve_address(),
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
        """Returns the settings of an entry daemon."""
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
        """Adds a VM to the platform's list, or replaces it there."""
        document = {
            "role": role,
            "zone": zone,
            "address": address,
            "state": state,
            "service": service,
        }
        self.put(self.platform, f"/vms/{vm_id}", document)

    def put_configuration(self, document: dict[str, Any]) -> None:
        """Writes the first version of the configuration row."""
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
        """Sends a JSON document to the platform or a target by PUT.

        Raises:
            AssertionError: The status of the response is 300 or more.
        """
        response = self.http.request(
            "PUT", f"http://{address}{path}", json=document, headers=headers
        )
        assert response.status < 300, response.data
        return response

    def set_faults(self, address: str, **faults: Any) -> None:
        """Sets faults of the platform or of a target."""
        self.put(address, "/faults", faults)

    def task_starts(self) -> list[dict[str, Any]]:
        """Returns the logged task starts of all targets that still run."""
        found = []
        for address, process in self.targets.values():
            if process.popen.poll() is None:
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
        """Sends a request to an entry with a caller's token."""
        return self.http.request(
            method,
            f"http://{entry.callers}/v1/{path}",
            json=document,
            headers={"Authorization": f"Bearer {token}"},
            timeout=timeout,
        )

    def issue_submission_ids(self, entry: Entry, count: int = 1) -> list[str]:
        """Returns new submission ids that an entry issues."""
        path = f"submission-ids?count={count}"
        return self.caller_request("POST", entry, path).json()["ids"]

    def submit(
        self, entry: Entry, submission_id: str, job: dict[str, Any]
    ) -> dict[str, Any]:
        """Submits a job and returns the decoded body of the answer."""
        path = f"submissions/{submission_id}"
        return self.caller_request("PUT", entry, path, job).json()

    def operator_request(
        self, method: str, entry: Entry, path: str, document: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request to an entry with the operator's token."""
        return self.http.request(
            method,
            f"http://{entry.operators}{path}",
            json=document,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def wait_ready(self, entry: Entry) -> None:
        """Waits until an entry serves callers and operators.

        Raises:
            RuntimeError: The daemon has exited; the message is its output.
            TimeoutError: It does not serve within `START_TIMEOUT_S`.
        """
        self._wait_until_ok(entry.callers, "/v1/ready", entry.process)
        # The listener for operators starts after the one for callers.
        self._wait_until_ok(entry.operators, "/v1/status", entry.process)

    def _start(self, name: str, module: str, *arguments: str) -> SiteProcess:
        log = self._folder / f"{name}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
                stdout=output,
                stderr=subprocess.STDOUT,
                # In the session of the tests, the kernel would send SIGHUP to
                # a suspended process when the shell that started them exits.
                start_new_session=True,
            )
        process = SiteProcess(name, popen, log)
        self._stack.callback(process.kill)
        return process

    def _wait_until_ok(
        self, address: str, path: str, process: SiteProcess | None = None
    ) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        while time.monotonic() < end:
            if process is not None and process.popen.poll() is not None:
                raise RuntimeError(process.log.read_text())
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                url = f"http://{address}{path}"
                response = self.http.request(
                    "GET", url, headers=headers, timeout=1.0
                )
                if response.status == 200:
                    return
            time.sleep(0.05)
        text = process.log.read_text() if process else ""
        raise TimeoutError(
            f"{address}{path} did not answer 200 within {START_TIMEOUT_S} s: "
            f"{text}"
        )


def job_document(
    count: int = 1, run_ms: float = 50, deadline_ms: int = 5000, **changes: Any
) -> dict[str, Any]:
    """Returns a job whose tasks have their index as payload field `echo`.

    `changes` replace top-level fields of the document.
    """
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
