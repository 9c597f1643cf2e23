"""Platform double with table, object store and VM list in memory."""

import asyncio
import collections
import contextlib
import time
from typing import Any

import attrs

from standins._http import HttpServer
from standins._http import json_response
from standins._http import Request
from standins._http import Response
from standins._http import update_faults


@attrs.frozen
class PlatformFaults:
    """Faults of the platform that tests can switch on.

    Attributes:
        outage: Every request is answered with 503 and has no effect.
        slow_ms: Delay before a request takes effect, in milliseconds.
        lose_answers: Writes take effect, but the connection is then closed
            without an answer. True applies to every write, a number n to the
            next n writes.
        list_lag_ms: Age of the VM list that is returned, in milliseconds.
    """

    outage: bool = False
    slow_ms: float = 0
    lose_answers: bool | int = False
    list_lag_ms: float = 0


class PlatformStandin:
    """Serves the platform's HTTP protocol; a context manager.

    Attributes:
        address: "IP:port"; port 0 is replaced by the bound port on entry.
        faults: Faults that are switched on.
        rows: Table rows as (version, value) by key.
        objects: Object bodies by key.
        requests: Number of requests to the table, object store and VM list, by
            method and first path segment.
    """

    def __init__(self, address: str):
        self.address = address
        self.faults = PlatformFaults()
        self.rows: dict[str, tuple[int, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.requests: collections.Counter[str] = collections.Counter()
        # All versions of the VM list as (monotonic time, VMs by id); the last
        # one is current. The lists are never modified.
        self._vm_lists: list[tuple[float, dict[str, dict[str, Any]]]] = [
            (0, {})
        ]

    def __enter__(self) -> "PlatformStandin":
        self._stack = contextlib.ExitStack()
        server = HttpServer(self.address, self._handle)
        self._stack.enter_context(server)
        self.address = server.address
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def set_faults(self, **changes: Any) -> None:
        """Changes the named faults; the others stay as they are.

        Raises:
            ValueError: A name is not a field of `PlatformFaults`.
        """
        self.faults = update_faults(self.faults, changes)

    def put_vm(
        self,
        vm_id: str,
        role: str,
        zone: str,
        address: str,
        state: str = "live",
        service: str = "",
    ) -> None:
        """Adds a VM to the list, or replaces the VM with the same id."""
        entry = {
            "id": vm_id,
            "role": role,
            "zone": zone,
            "address": address,
            "state": state,
            "service": service,
        }
        current = self._vm_lists[-1][1]
        self._vm_lists.append((time.monotonic(), {**current, vm_id: entry}))

    def delete_vm(self, vm_id: str) -> None:
        """Removes a VM from the list."""
        vms = {k: v for k, v in self._vm_lists[-1][1].items() if k != vm_id}
        self._vm_lists.append((time.monotonic(), vms))

    async def _handle(self, request: Request) -> Response | None:
        match (request.method, *request.path):
            case ("PUT", "faults"):
                self.set_faults(**request.json())
                return json_response(200, attrs.asdict(self.faults))
            case ("GET", "faults"):
                return json_response(200, attrs.asdict(self.faults))
            case ("PUT", "vms", vm_id):
                document = {**request.json(), "vm_id": vm_id}
                document.pop("id", None)
                self.put_vm(**document)
                return json_response(200, {})
            case ("DELETE", "vms", vm_id):
                self.delete_vm(vm_id)
                return json_response(200, {})
            case ("GET", "stats"):
                return json_response(200, dict(self.requests))
        self.requests[f"{request.method} {request.path[0]}"] += 1
        if self.faults.slow_ms > 0:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage:
            return json_response(503, {"type": "outage"})
        return self._handle_storage_request(request)

    def _handle_storage_request(self, request: Request) -> Response | None:
        match (request.method, *request.path):
            case ("GET", "vms"):
                return self._list_vms()
            case ("GET", "table", key):
                if key not in self.rows:
                    return json_response(404, {"type": "not_found"})
                version, value = self.rows[key]
                return json_response(200, {"version": version, "value": value})
            case ("PUT", "table", key):
                return self._write_row(key, request)
            case ("GET", "objects", key):
                if key not in self.objects:
                    return json_response(404, {"type": "not_found"})
                return Response(200, self.objects[key])
            case ("PUT", "objects", key):
                self.objects[key] = request.body
                return self._write_response({})
        return json_response(404, {"type": "not_found"})

    def _write_row(self, key: str, request: Request) -> Response | None:
        expected = int(request.headers["if-match"].strip('"'))
        value = request.json()
        version, current = self.rows.get(key, (0, None))
        if version != expected:
            return json_response(412, {"version": version, "value": current})
        self.rows[key] = (version + 1, value)
        return self._write_response({"version": version + 1})

    def _write_response(self, document: dict[str, Any]) -> Response | None:
        lose = self.faults.lose_answers
        if not lose:
            return json_response(200, document)
        if lose is not True:
            self.set_faults(lose_answers=lose - 1)
        return None

    def _list_vms(self) -> Response:
        visible = time.monotonic() - self.faults.list_lag_ms / 1000
        revision, vms = next(
            (index, vms)
            for index, (changed, vms) in reversed(
                list(enumerate(self._vm_lists))
            )
            if changed <= visible or index == 0
        )
        return json_response(
            200, {"revision": revision, "vms": list(vms.values())}
        )
