"""The decisions of one entry daemon, free of I/O."""

import json
import random

import attrs

from anvilford.configuration import encode_row
from anvilford.configuration import parse_row
from anvilford.configuration import Register
from anvilford.entry._configuration import ConfigurationFetch
from anvilford.entry._drain import Drain
from anvilford.entry._events import AttemptFinished
from anvilford.entry._events import ConfigurationCall
from anvilford.entry._events import ConfigurationReceived
from anvilford.entry._events import Count
from anvilford.entry._events import DrainRequested
from anvilford.entry._events import Effect
from anvilford.entry._events import Event
from anvilford.entry._events import ForwardCall
from anvilford.entry._events import HandoverCall
from anvilford.entry._events import LogChange
from anvilford.entry._events import MarksReceived
from anvilford.entry._events import PeerFailed
from anvilford.entry._events import PeerMessage
from anvilford.entry._events import PeerReplied
from anvilford.entry._events import ReadMarks
from anvilford.entry._events import RequesterGone
from anvilford.entry._events import RespondPeer
from anvilford.entry._events import RunAttempt
from anvilford.entry._events import StopAttempt
from anvilford.entry._events import SubmissionRequested
from anvilford.entry._events import TargetMarked
from anvilford.entry._events import Tick
from anvilford.entry._events import VmListReceived
from anvilford.entry._gossip import Gossiper
from anvilford.entry._marks import MarkStore
from anvilford.entry._options import CoreOptions
from anvilford.entry._quotas import Quotas
from anvilford.entry._requests import Requests
from anvilford.entry._services import Services
from anvilford.entry._targets import TargetShares
from anvilford.membership import MembershipDirectory
from anvilford.model import AttemptNotStarted
from anvilford.model import Incarnation
from anvilford.model import NotRun
from anvilford.model import NotStartedReason
from anvilford.model import RefusalReason
from anvilford.model import SubmissionId
from anvilford.protocol import ConfigurationReply
from anvilford.protocol import ConfigurationRequest
from anvilford.protocol import Gossip
from anvilford.protocol import HandoverAck
from anvilford.protocol import HandoverChunk
from anvilford.protocol import HandoverSeal
from anvilford.protocol import LoadReport
from anvilford.protocol import RequestKind
from anvilford.protocol import Successor
from anvilford.scheduling import CancelAttempt
from anvilford.scheduling import JobFinished
from anvilford.scheduling import StartAttempt
from anvilford.submissions import Ledger

# A wake-up that comes this late means that the process was suspended or
# starved. With 1.5 s a planned stop went on over a pause of 1.3 s.
PAUSE_LIMIT_S = 0.25


@attrs.frozen
class JobInFlight:
    """What is kept of an own job besides its record.

    Attributes:
        service: Service of the job.
        caller: Caller of the job.
        tasks: Number of tasks.
        traceparent: Trace context of the request.
        submitted_at: Loop time of the submission.
    """

    service: str
    caller: str
    tasks: int
    traceparent: str
    submitted_at: float


class EntryCore:
    """State machine of one entry daemon.

    `handle` is the only way to change the state. Effects are returned in the
    order in which they must be carried out.

    Attributes:
        me: This process.
        options: Parameters of the decisions.
        started_at: Loop time of the start.
        directory: Membership.
        marks: Durable copy of the operator marks.
        register: Configuration in force.
        fetch: Requests for a newer configuration.
        services: Queue and placement of tasks, by service.
        requests: Requesters and submissions.
        quotas: Limits by caller.
        gossiper: Exchange of membership.
        target_shares: Targets that may be used, with their slots.
        drain: Planned stop.
        jobs: Own jobs in flight, by sequence.
    """

    def __init__(
        self,
        me: Incarnation,
        tag_key: bytes,
        options: CoreOptions,
        rng: random.Random,
        now: float,
    ):
        self.me = me
        self.options = options
        self.started_at = now
        self.directory = MembershipDirectory()
        self.marks = MarkStore(self.directory)
        self.register = Register()
        self.fetch = ConfigurationFetch(
            self.directory, self.register, options.suspect_after
        )
        self.services = Services(me.zone, me.token, rng)
        ledger = Ledger(me, tag_key, options.retention)
        self.quotas = Quotas()
        self.requests = Requests(me, options, self.directory, ledger)
        self.gossiper = Gossiper(me, options, self.directory, rng)
        self.jobs: dict[int, JobInFlight] = {}
        self._due_at = now
        self._platform_answered = False
        self._was_ready = False
        self.target_shares = TargetShares(
            me, options, self.directory, self.services
        )
        self.drain = Drain(options, self.requests, self.gossiper)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Applies one event and returns what must be done about it."""
        effects = self._observe_pause(now)
        effects += self._apply(event, now)
        effects += self._advance(now)
        self._due_at = self._find_due()
        return effects

    def _observe_pause(self, now: float) -> list[Effect]:
        """Excludes time in which this process was suspended.

        Without this, every peer would look silent after a pause, and a
        planned stop right after it would find no peer for its records.
        """
        pause = now - self._due_at
        if pause < PAUSE_LIMIT_S:
            return []
        self.directory.discount_pause(pause)
        self.drain.observe_pause(pause, now)
        return [Count("pauses"), LogChange("resumed", (("seconds", pause),))]

    def is_ready(self, now: float) -> bool:
        """Tells whether requests may be served.

        A fresh process first takes the newest configuration, the operator
        marks and the membership of the platform and its peers. What it can
        reach is enough once `configuration_wait` is over. It stays out of
        service while more entries are live than the static split of a
        target's connections allows for.
        """
        if self._was_ready:
            return True
        waited = now - self.started_at >= self.options.configuration_wait
        heard_platform = self._platform_answered and self.marks.was_read
        heard_peers = self.gossiper.heard_full or not self.gossiper.has_peers()
        self._was_ready = (
            self.register.version > 0
            and (waited or (heard_platform and heard_peers))
            and self._fits_connection_split(now)
        )
        return self._was_ready

    def _fits_connection_split(self, now: float) -> bool:
        live = self.directory.live_entries(now, self.options.suspect_after)
        others = [e.incarnation for e in live if e.incarnation != self.me]
        home = sum(other.zone == self.me.zone for other in others)
        split = self.options.connections
        return (
            home < split.entries_per_zone
            and len(others) - home < split.remote_entries
        )

    @property
    def is_draining(self) -> bool:
        """True once a planned stop began."""
        return self.drain.started_at is not None

    def issue(self, caller: str, count: int) -> tuple[SubmissionId, ...]:
        """Issues submission ids; changes nothing else."""
        return self.requests.ledger.issue(caller, count)

    def next_wakeup(self, now: float) -> float:
        """Loop time at which `Tick` must be sent."""
        return max(now, self._due_at)

    def _find_due(self) -> float:
        times = [
            self.gossiper.next_round,
            self.services.next_wakeup(),
            self.requests.next_wakeup(),
            self.drain.next_wakeup(),
        ]
        return min(time for time in times if time is not None)

    def _apply(self, event: Event, now: float) -> list[Effect]:
        match event:
            case SubmissionRequested():
                return self._serve(event, now)
            case AttemptFinished():
                return self._finish(event, now)
            case PeerMessage():
                return self._receive(event, now)
            case PeerReplied(call, message):
                return self._receive_reply(call, message, now)
            case PeerFailed(call):
                return self._receive_reply(call, None, now)
            case RequesterGone(request_id):
                self.requests.abandon(request_id)
                return []
            case VmListReceived() | ConfigurationReceived() | MarksReceived():
                return self._apply_platform(event, now)
            case TargetMarked(vm_id, drained):
                self.directory.create_mark(vm_id, drained, self.me.token)
                self.marks.is_stored = False
                return [ReadMarks(), *self.gossiper.push(now)]
            case DrainRequested():
                return self.drain.start(now)
            case Tick():
                return []

    def _apply_platform(
        self,
        event: VmListReceived | ConfigurationReceived | MarksReceived,
        now: float,
    ) -> list[Effect]:
        """Applies what was read from the platform."""
        before = self.directory.fingerprint()
        match event:
            case VmListReceived(revision, vms):
                self.directory.merge_list(revision, vms, now)
                return self._push_if_changed(before, now)
            case MarksReceived(version, marks):
                effects = self.marks.observe(version, marks)
                return effects + self._push_if_changed(before, now)
            case ConfigurationReceived(version, row):
                self._platform_answered = True
                return self._apply_configuration(version, row, now)

    def _advance(self, now: float) -> list[Effect]:
        effects = self.gossiper.advance(now)
        effects += self.requests.advance(now)
        effects += self.target_shares.advance(now)
        effects += self._translate(self.services.advance(now))
        effects += self.fetch.advance(now)
        effects += self.drain.advance(now)
        return effects

    def _serve(self, event: SubmissionRequested, now: float) -> list[Effect]:
        is_new, effects = self.requests.serve(event, now)
        sequence = event.submission_id.sequence
        if is_new:
            effects += self._submit(event, now)
        elif event.kind is RequestKind.CANCEL and self.requests.may_cancel(
            event.submission_id, event.caller
        ):
            effects += self._translate(self.services.cancel(sequence, now))
        return effects

    def _submit(self, event: SubmissionRequested, now: float) -> list[Effect]:
        """Dispatches a job whose record was just created."""
        sequence = event.submission_id.sequence
        tasks = len(event.job.tasks)
        live = self.directory.live_entries(now, self.options.suspect_after)
        if not self.quotas.admits(event.caller, tasks, max(1, len(live))):
            refusal = JobFinished(sequence, NotRun(RefusalReason.QUOTA))
            return self._translate([refusal])
        self.quotas.start(event.caller, tasks)
        self.jobs[sequence] = JobInFlight(
            event.job.service, event.caller, tasks, event.traceparent, now
        )
        deadline_ms = min(event.job.deadline_ms, event.deadline_ms)
        job = attrs.evolve(event.job, deadline_ms=max(1, deadline_ms))
        return self._translate(
            self.services.submit(sequence, job, event.caller, now)
        )

    def _finish(self, event: AttemptFinished, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if event.outcome == AttemptNotStarted(NotStartedReason.LEAVING):
            before = self.directory.fingerprint()
            self.directory.record_leaving(event.target_id, now)
            effects += self._push_if_changed(before, now)
        kind = type(event.outcome).__name__
        reason = str(getattr(event.outcome, "reason", ""))
        labels = (("outcome", kind), ("reason", reason))
        effects.append(Count("attempts_finished", labels))
        finished = self.services.finish(event.attempt_id, event.outcome, now)
        return effects + self._translate(finished)

    def _translate(self, effects: list) -> list[Effect]:
        """Turns effects of the dispatcher into effects of the entry."""
        translated: list[Effect] = []
        for effect in effects:
            match effect:
                case StartAttempt():
                    traceparent = self.jobs[effect.job_key].traceparent
                    translated.append(RunAttempt(effect, traceparent))
                case CancelAttempt():
                    translated.append(StopAttempt(effect))
                case JobFinished(job_key, answer):
                    job = self.jobs.pop(job_key, None)
                    if job is not None:
                        self.quotas.finish(job.caller, job.tasks)
                    translated += self.requests.settle(job_key, answer)
        return translated

    def _receive(self, event: PeerMessage, now: float) -> list[Effect]:
        match event.message:
            case Gossip() as gossip:
                return self.gossiper.receive(gossip, now)
            case LoadReport() as report:
                self.target_shares.observe(report, now)
                return []
            case ConfigurationRequest():
                version = self.register.version
                row = encode_row(self.register.row) if version else {}
                reply = ConfigurationReply(version, json.dumps(row).encode())
                return [RespondPeer(event.request_id, reply)]
            case HandoverChunk() as chunk:
                if not self.is_draining:
                    self.requests.adoptions.adopt_chunk(chunk)
                ack = HandoverAck(not self.is_draining)
                return [RespondPeer(event.request_id, ack)]
            case HandoverSeal() as seal:
                return self._adopt(seal, event.request_id, now)
            case _:
                return [Count("peer_messages_ignored")]

    def _adopt(
        self, seal: HandoverSeal, request_id: str, now: float
    ) -> list[Effect]:
        if self.is_draining:
            return [RespondPeer(request_id, HandoverAck(False))]
        self.requests.adoptions.adopt_seal(seal)
        self.directory.merge_successor(
            Successor(seal.owner, self.me, seal.counter, seal.complete)
        )
        return [
            RespondPeer(request_id, HandoverAck(True)),
            LogChange("handover_adopted", (("owner", seal.owner.address),)),
            *self.gossiper.push(now),
        ]

    def _receive_reply(self, call, message, now: float) -> list[Effect]:
        match call:
            case ForwardCall():
                return self.requests.receive_reply(call, message)
            case HandoverCall():
                accepted = isinstance(message, HandoverAck) and message.accepted
                return self.drain.receive(call, accepted)
            case ConfigurationCall():
                self.fetch.finish(now)
                if isinstance(message, ConfigurationReply):
                    row = json.loads(message.row)
                    return self._apply_configuration(message.version, row, now)
                return []

    def _apply_configuration(
        self, version: int, row: dict, now: float
    ) -> list[Effect]:
        if version <= self.register.version:
            return []
        parsed = parse_row(version, row)
        if parsed.is_error():
            return [Count("configurations_malformed")]
        if not self.register.apply(parsed.ok):
            return []
        self.services.apply_document(parsed.ok.document, now)
        self.quotas.quotas = parsed.ok.document.quotas
        self.gossiper.configuration_version = self.register.version
        return [
            Count("configurations_applied"),
            LogChange("configuration_in_force", (("version", version),)),
            *self.gossiper.push_entries(now),
        ]

    def _push_if_changed(self, before: bytes, now: float) -> list[Effect]:
        if self.directory.fingerprint() == before:
            return []
        return self.gossiper.push(now)

    def connection_limit(self, target_id: str) -> int:
        """Connections that this entry may open to a target."""
        return self.target_shares.connection_limit(target_id)
