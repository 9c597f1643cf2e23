"""Settings of an entry on the platform, read from a JSON file."""

import json
import pathlib

import attrs
from attrs import validators
from expression import Error
from expression import Ok
from expression import Result

from anvilford.placement import RESUBMIT_PAUSE_S


def _string_field() -> str:
    return attrs.field(validator=validators.instance_of(str))


def _positive_field(kind: type | tuple[type, ...], default=attrs.NOTHING):
    return attrs.field(
        default=default,
        validator=[validators.instance_of(kind), validators.gt(0)],
    )


def _ranged_field(
    kind: type | tuple[type, ...], least: float, most: float, default=None
):
    """Returns a field for a number in a range, which may be left out."""

    def check(instance: object, attribute: attrs.Attribute, value) -> None:
        del instance
        if value is None and default is None:
            return
        if isinstance(value, bool) or not isinstance(value, kind):
            raise TypeError(f"{attribute.name}: {value!r} is not a number")
        if not least <= value <= most:
            raise ValueError(
                f"{attribute.name}: {value!r} is not from {least} to {most}"
            )

    return attrs.field(default=default, validator=check)


@attrs.frozen
class NodeSettings:
    """Settings of an entry on the platform.

    Attributes:
        name: Name of the VM.
        zone: Availability zone of the VM.
        callers: Address that listens for callers, "IP:port".
        ready: Address that listens for the load balancer's readiness checks,
            "IP:port".
        peers: Address that listens for other entries, "IP:port".
        metrics: Address that listens for requests of metrics and status,
            "IP:port".
        store: Address of the platform's metadata store, "IP:port".
        cores: Number of cores of the VM.
        stop_grace_s: Seconds from SIGTERM to SIGKILL.
        max_lease_ms: Longest lease that targets grant, in milliseconds.
        stop_time_ms: Longest time for which a task can still run after the
            target confirmed its stop, in milliseconds.
        remote_penalty: Factor by which a task runs longer outside the rack
            that holds its data.
        resubmit_pause_ms: Time after which callers without an answer send a
            job to another entry, in milliseconds.
        cpu_share: Part of each core that the VM may use.
        separate_interfering_tasks: Whether tasks of kinds that slow each other
            down are kept on different targets where there is room.
        log_level: Lowest level that is logged: "debug", "info", "warning" or
            "error".
        memory_mb: Memory of the VM, in MiB; by default that of the smallest.
        max_descriptors: Most file descriptors of the process; by default those
            of the smallest VM.
        request_memory_bytes: Memory for all requests that are incomplete or not
            yet answered; by default an eighth of the memory.
        max_caller_connections: Most open connections of callers; by default
            half of the descriptors that are not reserved for files.
        max_incomplete_connections: Most of them without a complete request; by
            default half of them.
        max_url_bytes: Longest target of a request.
        request_timeout_s: Time in which a request must be complete, in seconds.
        min_request_rate: Least average of bytes per second of a request that
            takes more than 10 s.
        incomplete_request_cpu_share: Part of the time for which the process may
            parse incomplete requests.
        max_unread_answer_bytes: Answers that a client has not read, in bytes,
            at which its further requests wait.
        unread_answer_timeout_s: Time for which they may wait, in seconds.
    """

    name: str = _string_field()
    zone: str = _string_field()
    callers: str = _string_field()
    ready: str = _string_field()
    peers: str = _string_field()
    metrics: str = _string_field()
    store: str = _string_field()
    cores: float = _positive_field((int, float))
    stop_grace_s: float = _positive_field((int, float))
    max_lease_ms: int = _positive_field(int)
    stop_time_ms: int = _positive_field(int)
    remote_penalty: float = _positive_field((int, float))
    resubmit_pause_ms: float = _positive_field(
        (int, float), RESUBMIT_PAUSE_S * 1000
    )
    cpu_share: float = attrs.field(
        default=1.0,
        validator=[
            validators.instance_of((int, float)),
            validators.gt(0),
        ],
    )
    separate_interfering_tasks: bool = attrs.field(
        default=True, validator=validators.instance_of(bool)
    )
    log_level: str = attrs.field(
        default="info",
        validator=validators.in_(("debug", "info", "warning", "error")),
    )
    memory_mb: float | None = _ranged_field((int, float), 64, 2**20)
    max_descriptors: int | None = _ranged_field(int, 256, 2**20)
    request_memory_bytes: int | None = _ranged_field(int, 2**20, 2**36)
    max_caller_connections: int | None = _ranged_field(int, 1, 2**20)
    max_incomplete_connections: int | None = _ranged_field(int, 1, 2**20)
    max_url_bytes: int = _ranged_field(int, 256, 65536, 8192)
    request_timeout_s: float = _ranged_field((int, float), 1, 3600, 30.0)
    min_request_rate: float = _ranged_field((int, float), 0, 2**20, 512.0)
    incomplete_request_cpu_share: float = _ranged_field(
        (int, float), 0.01, 1, 0.25
    )
    max_unread_answer_bytes: int = _ranged_field(int, 1024, 2**24, 65536)
    unread_answer_timeout_s: float = _ranged_field((int, float), 1, 3600, 10.0)


@attrs.frozen
class InvalidSettings:
    """The settings file cannot be used.

    Attributes:
        reason: What is wrong with the file.
    """

    reason: str


def load_node_settings(path: str) -> Result[NodeSettings, InvalidSettings]:
    """Reads and validates a settings file; unknown keys are ignored.

    Args:
        path: Path of a JSON file with an object at the top level.

    Returns:
        The settings, or why the file cannot be read, parsed or used.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        known = {field.name for field in attrs.fields(NodeSettings)}
        return Ok(
            NodeSettings(**{k: v for k, v in document.items() if k in known})
        )
    except (OSError, ValueError, TypeError, AttributeError) as error:
        return Error(InvalidSettings(str(error)))
