"""State machine of one entry daemon, free of I/O."""

import json
import random

import attrs

from anvilford.configuration import ConfigurationRegister
from anvilford.configuration import encode_row
from anvilford.configuration import parse_row
from anvilford.entry._configuration import ConfigurationFetcher
from anvilford.entry._drain import Drain
from anvilford.entry._events import AttemptFinished
from anvilford.entry._events import ConfigurationCall
from anvilford.entry._events import ConfigurationReceived
from anvilford.entry._events import DrainRequested
from anvilford.entry._events import Effect
from anvilford.entry._events import Event
from anvilford.entry._events import ForwardCall
from anvilford.entry._events import HandoverCall
from anvilford.entry._events import IncrementCounter
from anvilford.entry._events import LogChange
from anvilford.entry._events import MarksReceived
from anvilford.entry._events import PeerFailed
from anvilford.entry._events import PeerMessage
from anvilford.entry._events import PeerReplied
from anvilford.entry._events import ReadMarks
from anvilford.entry._events import ReplyToPeer
from anvilford.entry._events import RequesterGone
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
from anvilford.entry._requests import SubmissionRequests
from anvilford.entry._services import ServiceDispatchers
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

# A wake-up that is late by this much means that the process was suspended or
# got no CPU time. With a threshold of 1.5 s, a planned stop continued after
# a pause of 1.3 s as if there had been none.
PAUSE_THRESHOLD_S = 0.25


@attrs.frozen
class JobInFlight:
    """Data about a job in flight that its ledger record does not hold.

    Attributes:
        service: Name of the service that runs the tasks.
        caller: Name of the caller that submitted the job.
        task_count: Number of tasks in the job.
        traceparent: W3C trace context of the request; empty if there is none.
        submitted_at: Loop time of the submission, in seconds.
    """

    service: str
    caller: str
    task_count: int
    traceparent: str
    submitted_at: float


class EntryCore:
    """State machine of one entry daemon.

    Only `handle` changes the state, apart from `issue_ids`, which advances the
    next sequence number, and `is_ready`, which records that the entry became
    ready. Effects are returned in the order in which they must be carried out.

    Attributes:
        me: Incarnation of this process.
        options: Intervals, timeouts and limits.
        started_at: Loop time at which the process started, in seconds.
        directory: Known VMs, entries, operator marks and successors.
        marks: Synchronizes operator marks with the platform's table.
        register: Configuration in force.
        configuration_fetcher: Fetches newer configurations from peers.
        services: One dispatcher for each service.
        requests: Waiting requesters, own submissions and forwarded requests.
        quotas: Limits on the tasks in progress of each caller.
        gossiper: Exchanges membership with peers.
        target_shares: Keeps the dispatchers' targets and their slots up to
            date.
        drain: State of the planned stop.
        jobs: Jobs in flight that this entry owns, by the sequence number of
            their submission id.
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
        self.register = ConfigurationRegister()
        self.configuration_fetcher = ConfigurationFetcher(
            self.directory, self.register, options.suspect_after
        )
        self.services = ServiceDispatchers(me.zone, me.token, rng)
        ledger = Ledger(me, tag_key, options.retention)
        self.quotas = Quotas()
        self.requests = SubmissionRequests(me, options, self.directory, ledger)
        self.gossiper = Gossiper(me, options, self.directory, rng)
        self.jobs: dict[int, JobInFlight] = {}
        self._next_wakeup_at = now
        self._platform_was_read = False
        self._was_ready = False
        self.target_shares = TargetShares(
            me, options, self.directory, self.services
        )
        self.drain = Drain(options, self.requests, self.gossiper)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Applies one event.

        Args:
            event: What happened.
            now: Loop time in seconds.

        Returns:
            The effects to carry out, in order.
        """
        effects = self._compensate_for_pause(now)
        effects += self._apply(event, now)
        effects += self._advance(now)
        self._next_wakeup_at = self._find_next_wakeup()
        return effects

    def _compensate_for_pause(self, now: float) -> list[Effect]:
        """Excludes time in which this process was suspended from timeouts.

        Otherwise all heartbeats would look overdue after a pause, and a
        planned stop right after it would find no live peer that could receive
        its records.
        """
        pause = now - self._next_wakeup_at
        if pause < PAUSE_THRESHOLD_S:
            return []
        self.directory.discount_pause(pause)
        self.drain.extend_for_pause(pause, now)
        return [
            IncrementCounter("pauses"),
            LogChange("resumed", (("seconds", pause),)),
        ]

    def is_ready(self, now: float) -> bool:
        """Returns whether this entry may serve requests.

        A new process needs a configuration in force and first waits until it
        has read the configuration and the operator marks from the platform and
        has synchronized its membership with a peer. After
        `options.configuration_wait` seconds, a configuration from any source
        is enough. The entry is not ready while more entries are live than the
        static split of a target's connections allows for. Once ready, it stays
        ready.

        Args:
            now: Loop time in seconds.
        """
        if self._was_ready:
            return True
        wait_is_over = now - self.started_at >= self.options.configuration_wait
        has_platform_state = self._platform_was_read and self.marks.was_read
        has_peer_state = (
            self.gossiper.has_synchronized or not self.gossiper.has_peers()
        )
        self._was_ready = (
            self.register.version > 0
            and (wait_is_over or (has_platform_state and has_peer_state))
            and self._fits_connection_split(now)
        )
        return self._was_ready

    def _fits_connection_split(self, now: float) -> bool:
        live = self.directory.live_entries(now, self.options.suspect_after)
        others = [e.incarnation for e in live if e.incarnation != self.me]
        home_count = sum(other.zone == self.me.zone for other in others)
        split = self.options.connections
        return (
            home_count < split.entries_per_zone
            and len(others) - home_count < split.remote_entries
        )

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self.drain.started_at is not None

    def issue_ids(self, caller: str, count: int) -> tuple[SubmissionId, ...]:
        """Issues new submission ids that this entry owns.

        Args:
            caller: Authenticated caller that will use the ids.
            count: Number of ids.
        """
        return self.requests.ledger.issue(caller, count)

    def next_wakeup(self, now: float) -> float:
        """Returns the loop time, in seconds, at which `Tick` is due."""
        return max(now, self._next_wakeup_at)

    def _find_next_wakeup(self) -> float:
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
                return self._finish_attempt(event, now)
            case PeerMessage():
                return self._receive_message(event, now)
            case PeerReplied(call, message):
                return self._receive_reply(call, message, now)
            case PeerFailed(call):
                return self._receive_reply(call, None, now)
            case RequesterGone(request_id):
                self.requests.remove_requester(request_id)
                return []
            case VmListReceived() | ConfigurationReceived() | MarksReceived():
                return self._apply_platform(event, now)
            case TargetMarked(vm_id, drained):
                self.directory.create_mark(vm_id, drained, self.me.token)
                self.marks.is_stored = False
                return [ReadMarks(), *self.gossiper.push_full_state(now)]
            case DrainRequested():
                return self.drain.start(now)
            case Tick():
                return []

    def _apply_platform(
        self,
        event: VmListReceived | ConfigurationReceived | MarksReceived,
        now: float,
    ) -> list[Effect]:
        """Applies a VM list, configuration or marks read from the platform."""
        before = self.directory.fingerprint()
        match event:
            case VmListReceived(revision, vms):
                self.directory.merge_list(revision, vms, now)
                return self._push_if_changed(before, now)
            case MarksReceived(version, marks):
                effects = self.marks.reconcile(version, marks)
                return effects + self._push_if_changed(before, now)
            case ConfigurationReceived(version, row):
                self._platform_was_read = True
                return self._apply_configuration(version, row, now)

    def _advance(self, now: float) -> list[Effect]:
        effects = self.gossiper.advance(now)
        effects += self.requests.advance(now)
        effects += self.target_shares.advance(now)
        effects += self._translate(self.services.advance(now))
        effects += self.configuration_fetcher.advance(now)
        effects += self.drain.advance(now)
        return effects

    def _serve(self, event: SubmissionRequested, now: float) -> list[Effect]:
        is_new, effects = self.requests.serve(event, now)
        sequence = event.submission_id.sequence
        if is_new:
            effects += self._submit_job(event, now)
        elif event.kind is RequestKind.CANCEL and self.requests.may_cancel(
            event.submission_id, event.caller
        ):
            effects += self._translate(self.services.cancel(sequence, now))
        return effects

    def _submit_job(
        self, event: SubmissionRequested, now: float
    ) -> list[Effect]:
        """Dispatches a job whose ledger record was just created.

        A job beyond the caller's quota is refused. The job's deadline is cut
        to the time that is left in the request.
        """
        sequence = event.submission_id.sequence
        task_count = len(event.job.tasks)
        live = self.directory.live_entries(now, self.options.suspect_after)
        if not self.quotas.admits(event.caller, task_count, max(1, len(live))):
            refusal = JobFinished(sequence, NotRun(RefusalReason.QUOTA))
            return self._translate([refusal])
        self.quotas.add_tasks(event.caller, task_count)
        self.jobs[sequence] = JobInFlight(
            event.job.service, event.caller, task_count, event.traceparent, now
        )
        deadline_ms = min(event.job.deadline_ms, event.deadline_ms)
        job = attrs.evolve(event.job, deadline_ms=max(1, deadline_ms))
        return self._translate(
            self.services.submit(sequence, job, event.caller, now)
        )

    def _finish_attempt(
        self, event: AttemptFinished, now: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        if event.outcome == AttemptNotStarted(NotStartedReason.LEAVING):
            before = self.directory.fingerprint()
            self.directory.record_leaving(event.target_id, now)
            effects += self._push_if_changed(before, now)
        kind = type(event.outcome).__name__
        reason = str(getattr(event.outcome, "reason", ""))
        labels = (("outcome", kind), ("reason", reason))
        effects.append(IncrementCounter("attempts_finished", labels))
        finished = self.services.finish(event.attempt_id, event.outcome, now)
        return effects + self._translate(finished)

    def _translate(self, effects: list) -> list[Effect]:
        """Converts effects of a dispatcher into effects of the entry."""
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
                        self.quotas.release_tasks(job.caller, job.task_count)
                    translated += self.requests.settle(job_key, answer)
        return translated

    def _receive_message(self, event: PeerMessage, now: float) -> list[Effect]:
        match event.message:
            case Gossip() as gossip:
                return self.gossiper.receive(gossip, now)
            case LoadReport() as report:
                self.target_shares.receive_report(report, now)
                return []
            case ConfigurationRequest():
                version = self.register.version
                row = encode_row(self.register.row) if version else {}
                reply = ConfigurationReply(version, json.dumps(row).encode())
                return [ReplyToPeer(event.request_id, reply)]
            case HandoverChunk() as chunk:
                if not self.is_draining:
                    self.requests.adoptions.adopt_chunk(chunk)
                ack = HandoverAck(not self.is_draining)
                return [ReplyToPeer(event.request_id, ack)]
            case HandoverSeal() as seal:
                return self._adopt_records(seal, event.request_id, now)
            case _:
                return [IncrementCounter("peer_messages_ignored")]

    def _adopt_records(
        self, seal: HandoverSeal, request_id: str, now: float
    ) -> list[Effect]:
        if self.is_draining:
            return [ReplyToPeer(request_id, HandoverAck(False))]
        self.requests.adoptions.adopt_seal(seal)
        self.directory.merge_successor(
            Successor(seal.owner, self.me, seal.counter, seal.complete)
        )
        return [
            ReplyToPeer(request_id, HandoverAck(True)),
            LogChange("handover_adopted", (("owner", seal.owner.address),)),
            *self.gossiper.push_full_state(now),
        ]

    def _receive_reply(self, call, message, now: float) -> list[Effect]:
        match call:
            case ForwardCall():
                return self.requests.receive_reply(call, message)
            case HandoverCall():
                accepted = isinstance(message, HandoverAck) and message.accepted
                return self.drain.receive_reply(call, accepted)
            case ConfigurationCall():
                self.configuration_fetcher.end_call(now)
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
            return [IncrementCounter("configurations_malformed")]
        if not self.register.apply(parsed.ok):
            return []
        self.services.apply_document(parsed.ok.document, now)
        self.quotas.limits = parsed.ok.document.quotas
        self.gossiper.configuration_version = self.register.version
        return [
            IncrementCounter("configurations_applied"),
            LogChange("configuration_in_force", (("version", version),)),
            *self.gossiper.push_entry_states(now),
        ]

    def _push_if_changed(self, before: bytes, now: float) -> list[Effect]:
        if self.directory.fingerprint() == before:
            return []
        return self.gossiper.push_full_state(now)

    def connection_limit(self, target_id: str) -> int:
        """Returns the number of connections this entry may open to a target.

        Args:
            target_id: VM id of the target.
        """
        return self.target_shares.connection_limit(target_id)
