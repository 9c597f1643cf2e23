"""Simulation of entries that follow one of two leaders during zone cuts.

The leader "site" places jobs on all targets. While zone "b" is cut off, its
entries follow a leader of the zone, which uses only the targets there. The
rules and times are those of `node/_coordination.py` and `node/_callers.py`.
"""

import math

import attrs

from anvilford.leadership import FENCING_TOKENS_PER_TERM
from anvilford.order_model._load import Arrival
from anvilford.order_model._site import JOB_DEADLINE_S
from anvilford.order_model._site import PlacementSimulation
from anvilford.order_model._target import FakeTarget
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions

SITE = "site"
CUT_ZONE = "b"
HEARTBEAT_INTERVAL_S = 0.15
HEARTBEAT_TIMEOUT_S = 0.25
MEMBER_LIVE_TIMEOUT_S = 0.6
FENCE_RAISE_DELAY_S = 1.0
# Shortest and longest time of a search for a leader.
SEARCH_S = (0.05, 0.5)
# Range of one-way network delays; messages overtake each other.
DELAY_S = (0.0005, 0.03)
STEP_S = 0.005


@attrs.define(eq=False)
class OfferedJob:
    """A job of an entry, the leader that has its offer, and what to offer."""

    arrival: Arrival
    leader: str = ""
    is_ended: bool = False
    again: bool = False
    done: tuple[str, ...] = ()
    placed: tuple[str, ...] = ()
    placed_is_known: bool = True


@attrs.define(eq=False)
class FollowingEntry:
    """An entry; `due_at` is when it sends a heartbeat or ends a search."""

    name: str
    zone: str
    due_at: float
    leader: str = SITE
    is_unanswered: bool = False
    fence: int = 0
    jobs: dict[str, OfferedJob] = attrs.field(factory=dict)


class ZoneCutSimulation(PlacementSimulation):
    """Simulates two leaders and their entries while a zone is cut off.

    Attributes:
        entries: Entries of all zones.
        is_cut: Whether the zone is cut off now.
        zone_leader: Name of the latest leader of the cut-off zone.
    """

    def __init__(self, targets: list[FakeTarget], seed: int):
        super().__init__(targets, seed)
        self.entries = [
            FollowingEntry(f"{zone}{n}", zone, self.rng.uniform(0.0, 0.15))
            for n, zone in enumerate("aabb")
        ]
        self.is_cut = False
        self.zone_leader = ""
        self._heard_at: dict[tuple[str, str], float] = {}
        self._raise_fence_at = 0.0
        self._start_leading(SITE, FENCING_TOKENS_PER_TERM)
        self.schedule(0.0, self._step)

    def submit(self, entry: FollowingEntry, arrival: Arrival) -> None:
        """Schedules the submission of a job to an entry."""
        add, offered = entry.jobs.__setitem__, OfferedJob(arrival)
        self.schedule(arrival.arrival_time, add, arrival.job_id, offered)

    def list_targets(self, name: str) -> None:
        """Passes a leader the targets that it may use."""
        records = [target.record for target in self.targets.values()]
        if name != SITE:
            records = [r for r in records if r.zone == CUT_ZONE]
        self.placers[name].apply_target_list(records, [], self.now)
        self._execute_effects(name)

    # Leaders.

    def _start_leading(self, name: str, fence: int) -> None:
        for entry in self.entries:
            self._heard_at[name, entry.name] = self.now
        # A leader of one zone never sees the runs in the others.
        list_complete_at = 0.0 if name == SITE else math.inf
        options = PlacementOptions(list_complete_at=list_complete_at)
        self.add_placer(name, fence, options)
        self.schedule(self.now + HEARTBEAT_INTERVAL_S, self._lead_step, name)

    def _lead_step(self, name: str) -> None:
        """Withdraws the jobs of silent entries and settles who leads."""
        self.schedule(self.now + HEARTBEAT_INTERVAL_S, self._lead_step, name)
        placer = self.placers.get(name)
        if placer is None:
            return
        for entry in self.entries:
            heard_at = self._heard_at[name, entry.name]
            if self.now - heard_at > MEMBER_LIVE_TIMEOUT_S:
                placer.stop_jobs_of(entry.name, self.now)
        is_fenced = any(loser == name for loser, _ in self.fence_losses)
        self.fence_losses = [x for x in self.fence_losses if x[0] != name]
        if name != SITE and (is_fenced or not self.is_cut):
            placer.release_jobs(self.now)
            self._execute_effects(name)
            self.remove_placer(name)
        elif is_fenced and not self._raise_fence_at:
            self._raise_fence_at = self.now + FENCE_RAISE_DELAY_S
        elif name == SITE and 0 < self._raise_fence_at <= self.now:
            self._raise_fence(placer.fence)
        self._execute_effects(name)

    def _raise_fence(self, above: int) -> None:
        self._raise_fence_at = 0.0
        term = above // FENCING_TOKENS_PER_TERM + 1
        placer = self.placers[SITE]
        placer.raise_fence(term * FENCING_TOKENS_PER_TERM, self.now)
        self._execute_effects(SITE)

    def _receive_offer(self, name: str, entry, offered: OfferedJob) -> None:
        if name not in self.placers and offered.leader == name:
            offered.leader = ""
        elif name in self.placers and self._is_connected(entry, name):
            if name == SITE and entry.fence > self.placers[SITE].fence:
                self._raise_fence(entry.fence)
            self.offer(
                name, offered.arrival, offered.again, entry.name, done=offered.done,
                placed=offered.placed, placed_is_known=offered.placed_is_known,
            )  # fmt: skip

    # Entries.

    def _is_connected(self, entry: FollowingEntry, name: str) -> bool:
        return name != SITE or entry.zone != CUT_ZONE or not self.is_cut

    def _step(self) -> None:
        self.schedule(self.now + STEP_S, self._step)
        self.one_way_delay_s = self.rng.uniform(*DELAY_S)
        self.faults.partitioned_pairs = {
            (SITE, name)
            for name, target in self.targets.items()
            if self.is_cut and target.record.zone == CUT_ZONE
        }
        self._deliver_outcomes()
        for entry in self.entries:
            if entry.due_at <= self.now:
                self._exchange_heartbeat(entry)
            for offered in entry.jobs.values():
                ends_at = offered.arrival.arrival_time + JOB_DEADLINE_S
                if offered.leader or offered.is_ended or self.now > ends_at:
                    continue
                if entry.leader:
                    offered.leader = entry.leader
                    at = self.now + self.rng.uniform(*DELAY_S)
                    arguments = entry.leader, entry, offered
                    self.schedule(at, self._receive_offer, *arguments)

    def _deliver_outcomes(self) -> None:
        for _, name, job_id, outcome in self.outcomes:
            for entry in self.entries:
                offered = entry.jobs.get(job_id)
                if offered is None or offered.leader != name:
                    continue
                if self._is_connected(entry, name):
                    offered.leader, offered.again = "", True
                    offered.is_ended = outcome.kind is not OutcomeKind.MOVED
                    offered.done += outcome.done
                    offered.placed += outcome.placed
        self.outcomes.clear()

    def _exchange_heartbeat(self, entry: FollowingEntry) -> None:
        """Sends a heartbeat, gives up the leader or ends a search."""
        entry.due_at = self.now + HEARTBEAT_INTERVAL_S
        if not entry.leader and self._is_connected(entry, SITE):
            entry.leader = SITE
        elif not entry.leader:
            if self.zone_leader not in self.placers:
                self._start_zone_leader(entry)
            entry.leader = self.zone_leader
            fence = self.placers[self.zone_leader].fence
            entry.fence = max(entry.fence, fence)
        elif entry.is_unanswered or entry.leader not in self.placers:
            for offered in entry.jobs.values():
                if offered.leader:
                    offered.again, offered.placed_is_known = True, False
                offered.leader = ""
            entry.leader, entry.is_unanswered = "", False
            entry.due_at = self.now + self.rng.uniform(*SEARCH_S)
        elif not self._is_connected(entry, entry.leader):
            entry.is_unanswered = True
            entry.due_at = self.now + HEARTBEAT_TIMEOUT_S
        else:
            placer = self.placers[entry.leader]
            if entry.leader == SITE and entry.fence > placer.fence:
                self._raise_fence(entry.fence)
            previous = self._heard_at[entry.leader, entry.name]
            self._heard_at[entry.leader, entry.name] = self.now
            placer.record_contact(entry.name, previous)
            entry.fence = max(entry.fence, placer.fence)

    def _start_zone_leader(self, entry: FollowingEntry) -> None:
        term = entry.fence // FENCING_TOKENS_PER_TERM + 1
        # In the same term, the site's token may be lower or higher.
        fence = term * FENCING_TOKENS_PER_TERM + self.rng.choice((-5, 5))
        self.zone_leader = f"zone at {self.now:.3f}"
        self._start_leading(self.zone_leader, fence)
