"""Interface between the operators' application and an entry."""

from typing import Any
from typing import Protocol

import attrs

from anvilford.configuration import Document
from anvilford.configuration import Preset


@attrs.frozen
class NotReady:
    """The entry has not received a configuration yet."""


@attrs.frozen
class EntryUnavailable:
    """The event loop of the entry did not answer before the timeout."""


@attrs.frozen
class StoreUnavailable:
    """The platform's table cannot be reached; nothing was written.

    Attributes:
        reason: Failure class of the platform client, or what is wrong with the
            row.
    """

    reason: str


@attrs.frozen
class WriteUnresolved:
    """The response to a write was lost and the row could not be read back.

    The write may have taken effect.

    Attributes:
        operation_id: Id with which the write can be repeated safely.
    """

    operation_id: str


@attrs.frozen
class ConfigurationConflict:
    """The row has another version than expected; nothing was written.

    Attributes:
        version: Version that is now in the table; 0 if there is no row.
        author: Name of the operator who wrote that version.
        operation_id: Operation id of that version.
        preset: Preset of that version.
    """

    version: int
    author: str
    operation_id: str
    preset: str


@attrs.frozen
class UnknownTarget:
    """The entry knows no target VM with the id.

    Attributes:
        vm_id: VM id in the request.
    """

    vm_id: str


@attrs.frozen
class UnknownTrace:
    """The entry keeps no span of the trace.

    Attributes:
        trace_id: Trace id in the request.
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
    """Access of the operators' application to one entry.

    Methods are called on the server's threads and may block. They return JSON
    values or a typed failure. Ages are in milliseconds.
    """

    def status(self) -> dict[str, Any] | OperatorFailure:
        """Describes this entry and every entry VM known to it.

        Returns:
            `{"entry": {"address", "zone", "ready", "draining"},
            "configuration": {"version", "preset", "author", "operation"},
            "store": {"reachable"}, "vms": [{"vm_id", "address", "zone",
            "heartbeat_age_ms", "configuration_version", "reachable",
            "draining"}]}`. The VMs include the answering one.
            For a VM from which no heartbeat was received,
            `heartbeat_age_ms` is None and `configuration_version` 0.
            `reachable` is False for a VM that is treated as failed. Before the
            first configuration, `version` is 0 and the other values of
            `configuration` are None.
        """
        ...

    def targets(self) -> dict[str, Any] | OperatorFailure:
        """Lists the known targets.

        Returns:
            `{"targets": [{"vm_id", "address", "zone", "service", "state",
            "drained", "ejected", "running", "slots"}]}`. `running` counts the
            tasks that this entry runs on the target, `slots` the tasks that it
            may run there at once.
        """
        ...

    def submissions(self, limit: int) -> dict[str, Any] | OperatorFailure:
        """Lists the newest submissions owned by this entry.

        Args:
            limit: Largest number of submissions to list.

        Returns:
            `{"total", "submissions": [{"id", "caller", "service", "state",
            "tasks", "age_ms"}]}`. `service`, `tasks` and `age_ms` are None once
            the submission is no longer in flight.
        """
        ...

    def configuration(self) -> dict[str, Any] | OperatorFailure:
        """Returns the configuration in force at this entry.

        Returns:
            `{"version", "document", "operation", "author"}`.
        """
        ...

    def history(self) -> dict[str, Any] | OperatorFailure:
        """Returns the accepted changes that the row keeps, newest first.

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
        """Replaces the configuration if it still has the expected version.

        A repeated call with the operation id of an accepted change returns
        that change again and writes nothing.

        Args:
            document: New configuration document.
            expected_version: Version that the document is based on; 0 creates
                the configuration.
            operation_id: Id of the operation, chosen by the operator's client.
            author: Name of the operator.

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
            operation_id: Id of the operation, as for `apply_configuration`.
            author: Name of the operator.

        Returns:
            The same as `apply_configuration`.
        """
        ...

    def mark_target(
        self, vm_id: str, drained: bool, author: str
    ) -> dict[str, Any] | OperatorFailure:
        """Drains a target or resumes it.

        Args:
            vm_id: VM id of the target.
            drained: True to start no more tasks on it, False to allow them
                again.
            author: Name of the operator.

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
            "attributes"}]}`. `start_ms` is relative to the start of the first
            span.
        """
        ...

    def metrics_text(self) -> str | OperatorFailure:
        """Returns the counters as text."""
        ...

    def metrics_hdr(self) -> str | OperatorFailure:
        """Returns the latencies as an hdrhistogram log."""
        ...
