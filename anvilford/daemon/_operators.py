"""Adapter between the operators' HTTP threads and the entry's event loop."""

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import Any

import attrs
from expression import Result

from anvilford.configuration import ConfigurationRow
from anvilford.configuration import Document
from anvilford.configuration import encode_document
from anvilford.configuration import next_row_value
from anvilford.configuration import parse_row
from anvilford.configuration import Preset
from anvilford.configuration import ROW_KEY
from anvilford.daemon._runtime import EntryRuntime
from anvilford.entry import ConfigurationReceived
from anvilford.entry import TargetMarked
from anvilford.http import ConfigurationConflict
from anvilford.http import EntryUnavailable
from anvilford.http import NotReady
from anvilford.http import OperatorFailure
from anvilford.http import StoreUnavailable
from anvilford.http import UnknownTarget
from anvilford.http import UnknownTrace
from anvilford.http import WriteUnresolved
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from anvilford.tables import NotWritten
from anvilford.tables import OperationAccepted
from anvilford.tables import OperationConflict
from anvilford.tables import Unresolved
from anvilford.tables import write_with_operation_id
from anvilford.telemetry import Tracing

LOOP_CALL_TIMEOUT_S = 2.0
# Covers the first read of the row and three attempts of the write, each
# followed by a read: seven calls at the platform client's default timeout of
# 2 s.
WRITE_TIMEOUT_S = 15.0


@attrs.frozen
class OperatorAdapter:
    """Implements `OperatorPort` on an `EntryRuntime`.

    See `OperatorPort` for arguments, results and failures of its methods.

    Attributes:
        runtime: The running entry.
    """

    runtime: EntryRuntime

    def status(self) -> dict[str, Any] | OperatorFailure:
        """Describes this entry and every entry VM known to it."""
        return self._call_on_loop(self._describe_status)

    def targets(self) -> dict[str, Any] | OperatorFailure:
        """Lists the known targets."""
        return self._call_on_loop(self._describe_targets)

    def submissions(self, limit: int) -> dict[str, Any] | OperatorFailure:
        """Lists the newest submissions owned by this entry."""
        return self._call_on_loop(lambda: self._describe_submissions(limit))

    def configuration(self) -> dict[str, Any] | OperatorFailure:
        """Returns the configuration in force at this entry."""
        row = self.runtime.core.register.row
        if row is None:
            return NotReady()
        return {
            "version": row.version,
            "document": encode_document(row.document),
            "operation": row.operation,
            "author": row.author,
        }

    def history(self) -> dict[str, Any] | OperatorFailure:
        """Returns the accepted changes that the row keeps, newest first."""
        row = self.runtime.core.register.row
        if row is None:
            return NotReady()
        changes = [attrs.asdict(entry) for entry in reversed(row.history)]
        return {"version": row.version, "history": changes}

    def apply_configuration(
        self,
        document: Document,
        expected_version: int,
        operation_id: str,
        author: str,
    ) -> dict[str, Any] | OperatorFailure:
        """Replaces the configuration by compare-and-set."""
        return self._run_on_loop(
            self._write_change(
                lambda _: document, expected_version, operation_id, author
            )
        )

    def use_preset(
        self, preset: Preset, operation_id: str, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Changes the preset and leaves the rest of the document as it is."""

        def change(row: ConfigurationRow | None) -> Document:
            if row is None:
                return Document(preset)
            return attrs.evolve(row.document, preset=preset)

        return self._run_on_loop(
            self._write_change(change, None, operation_id, author)
        )

    def mark_target(
        self, vm_id: str, drained: bool, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Drains a target or resumes it."""
        # The mark names the entry as its author, not the operator.
        del author

        def mark() -> dict[str, Any] | OperatorFailure:
            known = self.runtime.core.directory.vms.get(vm_id)
            if known is None or known.info.role is not VmRole.TARGET:
                return UnknownTarget(vm_id)
            self.runtime.handle(TargetMarked(vm_id, drained))
            return {"vm_id": vm_id, "drained": drained}

        return self._call_on_loop(mark)

    def trace(self, trace_id: str) -> dict[str, Any] | OperatorFailure:
        """Returns the spans of a trace that this entry keeps."""
        tracing: Tracing = self.runtime.tracing
        spans = tracing.find(trace_id)
        if not spans:
            return UnknownTrace(trace_id)
        first = spans[0]["start"]
        return {
            "trace_id": trace_id,
            "spans": [
                {
                    "name": span["name"],
                    "start_ms": round((span["start"] - first) * 1000, 3),
                    "duration_ms": round(
                        (span["end"] - span["start"]) * 1000, 3
                    ),
                    "attributes": span["attributes"],
                }
                for span in spans
            ],
        }

    def metrics_text(self) -> str | OperatorFailure:
        """Returns the counters as text."""
        return self.runtime.counters.text()

    def metrics_hdr(self) -> str | OperatorFailure:
        """Returns the latencies as an hdrhistogram log."""
        return self.runtime.counters.hdr_log()

    def _call_on_loop(self, function: Callable[[], Any]) -> Any:
        """Runs a function on the loop; `EntryUnavailable` after a timeout."""
        try:
            return self.runtime.call_from_thread(function, LOOP_CALL_TIMEOUT_S)
        except concurrent.futures.TimeoutError:
            return EntryUnavailable()

    def _run_on_loop(self, coroutine) -> Any:
        """Runs a coroutine on the loop; `EntryUnavailable` after a timeout."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.runtime.loop)
        try:
            return future.result(WRITE_TIMEOUT_S)
        except concurrent.futures.TimeoutError:
            return EntryUnavailable()

    async def _write_change(
        self,
        change: Callable[[ConfigurationRow | None], Document],
        expected_version: int | None,
        operation_id: str,
        author: str,
    ) -> dict[str, Any] | OperatorFailure:
        """Writes a change of the configuration by compare-and-set.

        An operation that the row already contains is reported as accepted and
        not written again.

        Args:
            change: Returns the new document for the current row, which is None
                before the first configuration.
            expected_version: Version that the operator's change is based on;
                None accepts any.
            operation_id: Id of the operation, chosen by the operator's client.
            author: Name of the operator.

        Returns:
            The accepted change or a failure, as in `OperatorPort`.
        """
        platform = self.runtime.platform
        read = await platform.read_row(ROW_KEY)
        if read.is_error():
            return StoreUnavailable(type(read.error).__name__)
        current = None
        if read.ok is not None:
            parsed = parse_row(read.ok.version, read.ok.value)
            if parsed.is_error():
                return StoreUnavailable("the configuration row is malformed")
            current = parsed.ok
            done = current.find_operation(operation_id)
            if done is not None:
                return _accepted(done.version, operation_id, author, current)
        version = current.version if current else 0
        if expected_version not in (None, version):
            return _conflict(current)
        value = next_row_value(current, change(current), operation_id, author)
        result = await write_with_operation_id(
            platform, ROW_KEY, version, value, operation_id
        )
        return self._describe_write_result(result, value, operation_id, author)

    def _describe_write_result(
        self, result: Result, value: dict, operation_id: str, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Describes the result of a write; applies it here if accepted."""
        match result:
            case Result(tag="ok", ok=OperationAccepted(version, _)):
                self.runtime.handle(ConfigurationReceived(version, value))
                row = parse_row(version, value).ok
                return _accepted(version, operation_id, author, row)
            case Result(error=OperationConflict(_, _, row)):
                if row is None:
                    return StoreUnavailable("the configuration row is missing")
                parsed = parse_row(row.version, row.value)
                if parsed.is_error():
                    return StoreUnavailable(
                        "the configuration row is malformed"
                    )
                return _conflict(parsed.ok)
            case Result(error=NotWritten(failure)):
                return StoreUnavailable(type(failure).__name__)
            case Result(error=Unresolved()):
                return WriteUnresolved(operation_id)

    def _describe_status(self) -> dict[str, Any]:
        core = self.runtime.core
        now = self.runtime.loop.time()
        row = core.register.row
        return {
            "entry": {
                "address": core.me.address,
                "zone": core.me.zone,
                "ready": core.is_ready(now),
                "draining": core.is_draining,
            },
            "configuration": {
                "version": core.register.version,
                "preset": str(row.document.preset) if row else None,
                "author": row.author if row else None,
                "operation": row.operation if row else None,
            },
            "store": {"reachable": self.runtime.store_reachable},
            "vms": [
                self._describe_entry(vm_id, address, zone, now)
                for vm_id, address, zone in self._list_entry_vms()
            ],
        }

    def _list_entry_vms(self) -> list[tuple[str, str, str]]:
        """Lists every entry that is not gone.

        Returns:
            VM id, peer address and zone of each entry by address. An entry that
            is not in the VM list has its address as id.
        """
        directory = self.runtime.core.directory
        listed = {
            known.info.address: (known.info.vm_id, known.info.zone)
            for known in directory.vms.values()
            if known.info.role is VmRole.ENTRY
        }
        rows = []
        for address in sorted(directory.entry_addresses()):
            newest = directory.newest_incarnation(address)
            zone = newest.zone if newest else ""
            vm_id, zone = listed.get(address, (address, zone))
            rows.append((vm_id, address, zone))
        return rows

    def _describe_entry(
        self, vm_id: str, address: str, zone: str, now: float
    ) -> dict[str, Any]:
        core = self.runtime.core
        newest = core.directory.newest_incarnation(address)
        described = {"vm_id": vm_id, "address": address, "zone": zone}
        if newest is None:
            return described | {
                "heartbeat_age_ms": None,
                "configuration_version": 0,
                "reachable": False,
                "draining": False,
            }
        entry = core.directory.entries[newest.token]
        is_suspect = core.directory.is_suspect(
            newest.token, now, core.options.suspect_after
        )
        return described | {
            "heartbeat_age_ms": round((now - entry.last_heartbeat_at) * 1000),
            "configuration_version": entry.info.configuration_version,
            "reachable": newest == core.me or not is_suspect,
            "draining": entry.info.draining,
        }

    def _describe_targets(self) -> dict[str, Any]:
        core = self.runtime.core
        rows = []
        for vm in core.directory.targets():
            mark = core.directory.marks.get(vm.vm_id)
            dispatcher = core.services.dispatchers.get(vm.service)
            target = dispatcher.targets.get(vm.vm_id) if dispatcher else None
            rows.append(
                {
                    "vm_id": vm.vm_id,
                    "address": vm.address,
                    "zone": vm.zone,
                    "service": vm.service,
                    "state": VmState(vm.state).name.lower(),
                    "drained": mark is not None and mark.drained,
                    "ejected": target is not None and target.ejected,
                    "running": target.in_use if target else 0,
                    "slots": target.view.slots if target else 0,
                }
            )
        return {"targets": rows}

    def _describe_submissions(self, limit: int) -> dict[str, Any]:
        core = self.runtime.core
        now = self.runtime.loop.time()
        records = core.requests.ledger.store.records
        rows = []
        for sequence in sorted(records, reverse=True)[:limit]:
            record = records[sequence]
            job = core.jobs.get(sequence)
            state = record.answer.kind if record.answer else "in_flight"
            rows.append(
                {
                    "id": f"{core.me.zone}~{core.me.address}~{sequence}",
                    "caller": record.caller,
                    "service": job.service if job else None,
                    "state": state,
                    "tasks": job.task_count if job else None,
                    "age_ms": (
                        round((now - job.submitted_at) * 1000) if job else None
                    ),
                }
            )
        return {"total": len(records), "submissions": rows}


def _accepted(
    version: int, operation_id: str, author: str, row: ConfigurationRow
) -> dict[str, Any]:
    return {
        "version": version,
        "operation": operation_id,
        "author": author,
        "preset": str(row.document.preset),
    }


def _conflict(row: ConfigurationRow | None) -> ConfigurationConflict:
    if row is None:
        return ConfigurationConflict(0, "", "", "")
    return ConfigurationConflict(
        row.version, row.author, row.operation, str(row.document.preset)
    )
