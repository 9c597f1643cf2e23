"""Typed settings of a daemon.

Each class holds one group of the settings file, and each attribute one key.
Meanings, units and ranges of the keys are defined in schema.json; defaults
must equal those in the schema.
"""

import attrs

from anvilford.model import JobLimits

_MIB = 1024 * 1024


@attrs.frozen
class VmSettings:
    """The VM that the daemon runs on."""

    zone: str
    weight: float = 1.0


@attrs.frozen
class ListenSettings:
    """Addresses that the daemon listens on, each "IP:port"."""

    callers: str
    operators: str
    peers: str


@attrs.frozen
class PlatformSettings:
    """Access to the platform's table, object store and VM list."""

    address: str
    timeout_ms: int = 2000
    poll_ms: int = 1000


@attrs.frozen
class PeerSettings:
    """Gossip and authentication between entry daemons."""

    token: str = attrs.field(repr=False)
    gossip_ms: int = 500
    gossip_fanout: int = 3
    suspect_ms: int = 3000
    seeds: tuple[str, ...] = ()


@attrs.frozen
class Principal:
    """A caller or an operator, authenticated by a token.

    Attributes:
        name: Name under which its submissions or changes are recorded.
        token: Bearer token of its HTTP requests.
    """

    name: str
    token: str = attrs.field(repr=False)


@attrs.frozen
class HttpSettings:
    """HTTP servers for callers and operators."""

    threads: int = 320
    socket_queue_size: int = 512
    body_bytes: int = 4 * _MIB
    wait_limit_ms: int = 30_000


@attrs.frozen
class TargetSettings:
    """Connections to targets and limits on calls to them."""

    connections_home: int = 48
    connections_remote: int = 16
    entries_per_zone: int = 4
    remote_entries: int = 16
    slots: int = 8
    idle_ms: int = 4000
    connect_timeout_ms: int = 250
    response_bytes: int = _MIB
    grace_ms: int = 200
    threads: int = 256


@attrs.frozen
class RetentionSettings:
    """Bounds on finished submissions kept for callers that submit again."""

    records: int = 50_000
    bytes: int = 64 * _MIB


@attrs.frozen
class JobLimitSettings:
    """Bounds on one job."""

    tasks: int = 1100
    deadline_ms: int = 120_000
    nesting: int = 32


@attrs.frozen
class DrainSettings:
    """Time limits of a planned stop of the daemon."""

    notice_ms: int = 3000
    handover_timeout_ms: int = 10_000


@attrs.frozen
class TraceSettings:
    """Sampling and retention of request traces in memory."""

    ratio: float = 0.01
    capacity: int = 20_000


@attrs.frozen
class LogSettings:
    """Log output."""

    level: str = "info"


@attrs.frozen
class Settings:
    """All settings of one daemon, one attribute for each group of the file."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    callers: tuple[Principal, ...]
    operators: tuple[Principal, ...]
    http: HttpSettings = HttpSettings()
    targets: TargetSettings = TargetSettings()
    retention: RetentionSettings = RetentionSettings()
    job_limits: JobLimitSettings = JobLimitSettings()
    drain: DrainSettings = DrainSettings()
    trace: TraceSettings = TraceSettings()
    log: LogSettings = LogSettings()

    def job_parse_limits(self) -> JobLimits:
        """Returns the bounds on a job for `model.parse_job`."""
        return JobLimits(
            body_bytes=self.http.body_bytes,
            tasks=self.job_limits.tasks,
            nesting=self.job_limits.nesting,
            deadline_ms=self.job_limits.deadline_ms,
        )
