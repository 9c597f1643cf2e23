"""Parameters of an entry's decisions."""

import attrs

from anvilford.shares import ConnectionSplit
from anvilford.submissions import RetentionLimits


@attrs.frozen
class CoreOptions:
    """Parameters of `EntryCore`; times in seconds.

    Attributes:
        weight: Relative size of this VM.
        seeds: Peer addresses to contact before any list is known.
        gossip_interval: Time between gossip rounds.
        gossip_fanout: Peers contacted in a round.
        suspect_after: Silence after which a peer is not relied upon.
        drain_notice: Time between the stop signal and the first refusal, in
            which the balancer notices that the entry is leaving.
        handover_timeout: Longest wait for one handover reply.
        configuration_wait: After the start, longest wait for the platform
            before a peer's configuration alone is enough.
        slots: Slots of a target.
        lending: Whether idle slots of other entries of the zone are used.
        load_sample_interval: Time between two looks at the own load.
        min_report_interval: Shortest time between two reports of changed use.
        max_report_interval: Longest time between two load reports.
        connections: Split of a target's connections.
        retention: Bounds on finished records.
        max_hops: Most forwards of one request: to the owner, to the successor.
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
