"""Options of an entry's state machine."""

import attrs

from anvilford.shares import ConnectionSplit
from anvilford.submissions import RetentionLimits


@attrs.frozen
class CoreOptions:
    """Options of `EntryCore`; times are in seconds.

    Attributes:
        weight: Relative capacity of this VM, which sets its share of the slots
            of each target.
        seeds: Addresses of peers to contact before any VM list was received.
        gossip_interval: Time between gossip rounds.
        gossip_fanout: Number of peers contacted in a round.
        suspect_after: Time without a heartbeat after which a peer is treated
            as failed.
        drain_notice: Time between the stop signal and the first refused job,
            in which the load balancer detects that the entry is leaving.
        handover_timeout: Longest wait for the reply to one handover message.
        configuration_wait: Longest wait of a new process for the platform and
            its peers; after it, a configuration from any source is enough.
        slots: Number of tasks that a target runs at once.
        lending: Whether this entry reports its load, so that entries of the
            zone can use each other's idle slots.
        load_sample_interval: Time between two measurements of this entry's
            load.
        min_report_interval: Shortest time between two reports of a changed
            load; a new backlog is reported without this delay.
        max_report_interval: Longest time between two load reports.
        connections: Split of a target's connections between the entries.
        retention: Bounds on the finished records that are kept.
        max_hops: Most forwards of one request. Two are enough to reach the
            owner and, from there, its successor.
    """

    weight: float = 1.0
    seeds: tuple[str, ...] = ()
    gossip_interval: float = 0.5
    gossip_fanout: int = 3
    suspect_after: float = 3.0
    drain_notice: float = 0.0
    handover_timeout: float = 2.0
    configuration_wait: float = 2.0
    slots: int = 8
    lending: bool = True
    load_sample_interval: float = 0.1
    min_report_interval: float = 1.0
    max_report_interval: float = 2.0
    connections: ConnectionSplit = ConnectionSplit()
    retention: RetentionLimits = RetentionLimits()
    max_hops: int = 2
