"""Double of the platform: table, object store and VM list in memory."""

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
    """Faults of the platform.

    Attributes:
        outage: Every request is answered 503 and has no effect.
        slow_ms: Delay before a request takes effect.
        lose_answers: Writes take effect, and the connection is then closed
            without an answer: True for every write, a number for the next
            ones.
        list_lag_ms: Age of the VM list that is returned.
    """

    outage: bool = False
    slow_ms: float = 0
    lose_answers: bool | int = False
    list_lag_ms: float = 0


class PlatformStandin:
    """Serves the platform's protocol; a context manager.

    Attributes:
        address: "IP:port"; port 0 is replaced by the real one on entry.
        faults: Faults in force.
        rows: Pairs of version and value by key.
        objects: Object bodies by key.
        requests: Requests to the table, object store and list so far, by
            method and first part of the path.
    """

    def __init__(self, address: str):
        self.address = address
        self.faults = PlatformFaults()
        self.rows: dict[str, tuple[int, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.requests: collections.Counter[str] = collections.Counter()
        # Each list is immutable, with its time; the last one is current.
        self._lists: list[tuple[float, dict[str, dict[str, Any]]]] = [(0, {})]

    def __enter__(self) -> "PlatformStandin":
        self._stack = contextlib.ExitStack()
        server = HttpServer(self.address, self._handle)
        self._stack.enter_context(server)
        self.address = server.address
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def set_faults(self, **changes: Any) -> None:
        """Replaces the named faults.

        Raises:
            ValueError: A name is not one of the faults.
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
        """Adds a VM or replaces its entry in the list."""
        entry = {
            "id": vm_id,
            "role": role,
            "zone": zone,
            "address": address,
            "state": state,
            "service": service,
        }
        current = self._lists[-1][1]
        self._lists.append((time.monotonic(), {**current, vm_id: entry}))

    def delete_vm(self, vm_id: str) -> None:
        """Removes a VM from the list."""
        vms = {k: v for k, v in self._lists[-1][1].items() if k != vm_id}
        self._lists.append((time.monotonic(), vms))

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
        return self._store(request)

    def _store(self, request: Request) -> Response | None:
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
                return self._written({})
        return json_response(404, {"type": "not_found"})

    def _write_row(self, key: str, request: Request) -> Response | None:
        expected = int(request.headers["if-match"].strip('"'))
        value = request.json()
        version, current = self.rows.get(key, (0, None))
        if version != expected:
            return json_response(412, {"version": version, "value": current})
        self.rows[key] = (version + 1, value)
        return self._written({"version": version + 1})

    def _written(self, document: dict[str, Any]) -> Response | None:
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
            for index, (changed, vms) in reversed(list(enumerate(self._lists)))
            if changed <= visible or index == 0
        )
        return json_response(
            200, {"revision": revision, "vms": list(vms.values())}
        )
