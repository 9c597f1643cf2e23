"""What the operators' application needs from an entry."""

from typing import Any
from typing import Protocol

import attrs

from anvilford.configuration import Document
from anvilford.configuration import Preset


@attrs.frozen
class NotReady:
    """The entry has no configuration yet."""


@attrs.frozen
class EntryUnavailable:
    """The event loop of the entry did not answer in time."""


@attrs.frozen
class StoreUnavailable:
    """The platform's table cannot be reached; nothing was written.

    Attributes:
        reason: What the platform client reported.
    """

    reason: str


@attrs.frozen
class WriteUnresolved:
    """The answer to a write was lost and the row could not be read back.

    Attributes:
        operation_id: Id under which the write can be repeated or looked up.
    """

    operation_id: str


@attrs.frozen
class ConfigurationConflict:
    """Another operator's change came first; nothing was written.

    Attributes:
        version: Version that is now in the table.
        author: Operator who wrote it.
        operation_id: That operator's operation.
        preset: Preset of that version.
    """

    version: int
    author: str
    operation_id: str
    preset: str


@attrs.frozen
class UnknownTarget:
    """No target VM of this id is known.

    Attributes:
        vm_id: The id in the request.
    """

    vm_id: str


@attrs.frozen
class UnknownTrace:
    """No span of this trace is kept by this entry.

    Attributes:
        trace_id: The id in the request.
    """

    trace_id: str


OperatorFailure = (
    NotReady
    | EntryUnavailable
    | StoreUnavailable
    | WriteUnresolved
    | ConfigurationConflict
    | UnknownTarget
    | UnknownTrace
)


class OperatorPort(Protocol):
    """Blocking access to one entry, called from the server's threads.

    Methods return JSON values or a typed failure. Ages are in milliseconds.
    """

    def status(self) -> dict[str, Any] | OperatorFailure:
        """Describes this entry and every entry VM known to it.

        Returns:
            `{"entry": {"address", "zone", "ready", "draining"},
            "configuration": {"version", "preset", "author", "operation"},
            "store": {"reachable"}, "vms": [{"vm_id", "address", "zone",
            "heartbeat_age_ms", "configuration_version", "reachable",
            "draining"}]}`. The VMs include the answering one.
            `heartbeat_age_ms` is None and `configuration_version` 0 for a VM
            that was never heard of. `reachable` is False for a suspect VM.
            Before the first configuration its version is 0 and its other
            values are None.
        """
        ...

    def targets(self) -> dict[str, Any] | OperatorFailure:
        """Lists the known targets.

        Returns:
            `{"targets": [{"vm_id", "address", "zone", "service", "state",
            "drained", "ejected", "running", "slots"}]}`, where `running` and
            `slots` are those of this entry.
        """
        ...

    def submissions(self, limit: int) -> dict[str, Any] | OperatorFailure:
        """Lists the newest submissions owned by this entry.

        Args:
            limit: Most submissions to list. Service, tasks and age are known
                while a submission is in flight and None afterwards.

        Returns:
            `{"total", "submissions": [{"id", "caller", "service", "state",
            "tasks", "age_ms"}]}`.
        """
        ...

    def configuration(self) -> dict[str, Any] | OperatorFailure:
        """Returns what is in force here.

        Returns:
            `{"version", "document", "operation", "author"}`.
        """
        ...

    def history(self) -> dict[str, Any] | OperatorFailure:
        """Returns the newest accepted changes, newest first.

        Returns:
            `{"version", "history": [{"version", "operation", "author",
            "preset"}]}`.
        """
        ...

    def apply_configuration(
        self,
        document: Document,
        expected_version: int,
        operation_id: str,
        author: str,
    ) -> dict[str, Any] | OperatorFailure:
        """Replaces the configuration by compare-and-set.

        A repeated call with the operation id of an accepted change returns
        that change again and writes nothing.

        Args:
            document: New document.
            expected_version: Version that the document was based on.
            operation_id: Chosen by the operator's client.
            author: Operator.

        Returns:
            `{"version", "operation", "author", "preset"}` once accepted.
        """
        ...

    def use_preset(
        self, preset: Preset, operation_id: str, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Changes the preset and leaves the rest of the document as it is.

        Args:
            preset: New preset.
            operation_id: As for `apply_configuration`.
            author: Operator.

        Returns:
            As `apply_configuration`.
        """
        ...

    def mark_target(
        self, vm_id: str, drained: bool, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Drains a target or resumes it.

        Args:
            vm_id: The target.
            drained: True to stop new work, False to allow it again.
            author: Operator.

        Returns:
            `{"vm_id", "drained"}`.
        """
        ...

    def trace(self, trace_id: str) -> dict[str, Any] | OperatorFailure:
        """Returns the spans of a trace that this entry keeps.

        Args:
            trace_id: 32 hexadecimal digits.

        Returns:
            `{"trace_id", "spans": [{"name", "start_ms", "duration_ms",
            "attributes"}]}`; `start_ms` counts from the first span.
        """
        ...

    def metrics_text(self) -> str | OperatorFailure:
        """Returns counters as text."""
        ...

    def metrics_hdr(self) -> str | OperatorFailure:
        """Returns latencies as an hdrhistogram log."""
        ...
