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
