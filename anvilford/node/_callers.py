"""Answers requests from callers.

Selects the queue of a job, offers the job to the member that places jobs, and
answers the caller with the outcome.
"""

import asyncio
import logging
import math
import random
import string
from collections.abc import Callable

import attrs

from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.node import _clock as clock
from anvilford.node._cancellations import JobCancellations
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._coordination import REASON_NOT_LEADING
from anvilford.node._coordination import REASONS_NOT_STARTED
from anvilford.node._progress import HELD_UP_S
from anvilford.node._sync import SiteView
from anvilford.node._withdrawals import JobWithdrawals
from anvilford.node._withdrawals import LEADER_CHECK_INTERVAL_S
from anvilford.peers import PeerLinks
from anvilford.peers import PeerRefused
from anvilford.placement import CANCELED_OUTCOME
from anvilford.placement import CancelResult
from anvilford.placement import JobSpec
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.platform import DEADLINE_HEADER
from anvilford.platform import decode_deadline_s
from anvilford.platform import decode_job
from anvilford.platform import encode_invalid_job
from anvilford.platform import encode_job_state
from anvilford.platform import encode_pending_count
from anvilford.platform import InvalidJobBody
from anvilford.platform import JOB_ID_HEX_DIGITS
from anvilford.platform import JobState
from anvilford.platform import UnsupportedJob
from anvilford.routing import Route
from anvilford.telemetry import Counters

# Longest time that a request waits for the first configuration. A process that has
# just started reads it within 0.05 s.
CONFIGURATION_WAIT_S = 0.25
# Longest time that a request waits for a leader before its first offer. A new
# leader is found about half a second after the old one stopped answering.
LEADER_WAIT_S = 0.9
# Time for which a job goes on after its caller's connection was reset, or after
# status 504 if a leader may still have it. The caller resubmits the job 1.3 s
# later and must find it still running.
DISCONNECT_GRACE_S = 1.6
# Callers that close their connection this close to their deadline are expected
# to resubmit the job.
DEADLINE_TOLERANCE_S = 0.1
# Time in which the loop reads whether the caller of a request that waited has
# closed its connection meanwhile.
CLOSE_READ_S = 0.05
# Time after which a caller may repeat a cancellation that no leader has confirmed.
CANCEL_RETRY_AFTER_MS = 1000
# Additional time for the leader's reply to an offer.
PLACER_REPLY_MARGIN_S = 0.5

_HEX = frozenset(string.hexdigits)
_logger = logging.getLogger(__name__)


@attrs.define
class _PlacementProgress:
    """State of a job that is being offered to leaders.

    Updated after each offer; the next offer passes the state on, so that a new
    leader neither repeats finished tasks nor runs a task twice.

    Attributes:
        may_have_started: True once an earlier leader may have started tasks
            of the job.
        finished_tasks: Tasks that are known to be finished, as "step.index".
        possible_run_targets: Targets that may have runs of the job.
        run_targets_known: False once a leader stopped answering without
            reporting the targets on which it started the job. It may still
            have the job.
        offer_count: Number of offers made.
        failed_placer_token: Process token of the leader that last failed to
            place the job; it gets no further offer until the leader changes.
            Empty if there is none.
        caller_is_lost: True once the caller may have given the job to another
            entry. The job is offered to no further leader then.
    """

    may_have_started: bool = False
    finished_tasks: tuple[str, ...] = ()
    possible_run_targets: tuple[str, ...] = ()
    run_targets_known: bool = True
    offer_count: int = 0
    failed_placer_token: str = ""
    caller_is_lost: bool = False


class CallerRequestHandler:
    """Handles requests from callers.

    Attributes:
        entry_name: Name of the VM of this entry.
        site: Configuration and targets.
        coordinator: Provides the member that places jobs.
        links: Connections to other members.
        counters: Receives counts and latencies.
        rejects_new_jobs: Whether new jobs are refused; set by `EntryNode`
            late in a planned stop.
        requests_in_progress: Number of requests that are being answered.
        withdrawals: Withdraws jobs whose requests have ended.
        cancellations: Cancels jobs for their callers.
    """

    def __init__(
        self,
        entry_name: str,
        site: SiteView,
        coordinator: LeadershipCoordinator,
        links: PeerLinks,
        counters: Counters,
    ):
        self.entry_name = entry_name
        self.site = site
        self.coordinator = coordinator
        self.links = links
        self.counters = counters
        self.rejects_new_jobs = False
        self.requests_in_progress = 0
        self.withdrawals = JobWithdrawals(coordinator)
        self.cancellations = JobCancellations(
            coordinator, links, self.withdrawals, counters
        )
        self._random = random.Random()

    async def handle(self, request: Request) -> Response:
        """Answers one request and records its status and latency."""
        self.requests_in_progress += 1
        started_at = clock.now()
        try:
            response = await self._answer_request(request)
        finally:
            self.requests_in_progress -= 1
        self.counters.increment(
            "caller_requests",
            method=request.method,
            status=str(response.status),
        )
        if request.method == "POST":
            self.counters.observe(
                "caller_request",
                max(clock.now() - started_at, 0.0),
                status=str(response.status),
            )
        return response

    async def _answer_request(self, request: Request) -> Response:
        routing_table = self.site.routing_table
        if routing_table is None:
            routing_table = await self.site.wait_for_routing_table(
                CONFIGURATION_WAIT_S
            )
        if routing_table is None:
            return self._refuse("", "no_configuration", 503, 1000)
        path = request.target.partition("?")[0]
        route = routing_table.find_route(request.headers.get("host", ""), path)
        if route is None:
            _logger.info(
                "no queue matches the host and path of the request",
                extra={"path": path, "configuration": routing_table.version},
            )
            return Response(404)
        job_id = path[len(route.path_prefix) :]
        if request.method == "GET" and not job_id:
            queue = route.policy.name
            return Response(
                200,
                encode_pending_count(
                    self.coordinator.waiting_jobs.get(queue, 0)
                ),
            )
        if len(job_id) != JOB_ID_HEX_DIGITS or not _HEX.issuperset(job_id):
            return Response(404)
        match request.method:
            case "POST":
                return await self._answer_submission(request, route, job_id)
            case "DELETE":
                return await self._answer_cancellation(job_id)
            case "GET":
                # Jobs are not stored beyond their answer.
                return Response(410)
            case _:
                return Response(405)

    async def _answer_cancellation(self, job_id: str) -> Response:
        """Cancels a job and answers whether it was in progress."""
        match await self.cancellations.cancel(job_id):
            case CancelResult.CANCELED:
                return Response(200, encode_job_state(JobState.CANCELED))
            case CancelResult.ENDED | CancelResult.UNKNOWN:
                return Response(410)
            case _:
                return self._refusal_response(503, CANCEL_RETRY_AFTER_MS)

    async def _answer_submission(
        self, request: Request, route: Route, job_id: str
    ) -> Response:
        spec = decode_job(request.body)
        match spec:
            case InvalidJobBody(reason) as invalid:
                _logger.warning(
                    "job body cannot be decoded",
                    extra={"job": job_id, "reason": reason},
                )
                return Response(400, encode_invalid_job(invalid))
            case UnsupportedJob(feature):
                return self._refuse(job_id, "unsupported " + feature, 503, 0)
        if route.needs_advice:
            return self._refuse(job_id, "unsupported advice", 503, 0)
        if clock.now() - request.arrived_at > HELD_UP_S:
            await asyncio.wait((request.disconnected,), timeout=CLOSE_READ_S)
            if request.disconnected.done():
                return self._refuse(job_id, "caller_left", 503, 0)
        if clock.now() >= request.arrived_at + _parse_deadline_s(request):
            return self._refuse(job_id, "read_late", 503, 1000)
        if self.rejects_new_jobs:
            return self._refuse(job_id, "entry_stopping", 503, 0)
        with self.withdrawals.request_in_progress(job_id):
            return await self._place_until_deadline(
                request, route, job_id, spec
            )

    async def _place_until_deadline(
        self, request: Request, route: Route, job_id: str, spec: JobSpec
    ) -> Response:
        """Places a job and answers with its outcome.

        If the caller closes its connection well before its deadline, the job
        is withdrawn at once. After a reset, or close to the deadline, the job
        goes on for `DISCONNECT_GRACE_S`, because the caller is expected to
        resubmit it.
        """
        arrived_at = request.arrived_at
        wait_s = _parse_deadline_s(request)
        progress = _PlacementProgress()
        placement = asyncio.ensure_future(
            self._offer_until_resolved(
                route, job_id, spec, arrived_at, arrived_at + wait_s, progress
            )
        )
        await self._wait_for_outcome(
            placement,
            request.disconnected,
            arrived_at + wait_s,
            lambda: self._lose_caller(job_id, progress),
        )
        if not placement.done():
            left_early = (
                clock.now() < arrived_at + wait_s - DEADLINE_TOLERANCE_S
            )
            if left_early and not request.disconnected.result():
                cause = "caller_left"
            else:
                cause = "caller_lost"
                self._lose_caller(job_id, progress)
                await self._wait_for_lost_caller(placement)
            if not placement.done():
                progress.caller_is_lost = True
                placement.cancel()
                self.withdrawals.withdraw(job_id)
            else:
                self._withdraw_from_silent_leader(
                    job_id, progress, DISCONNECT_GRACE_S
                )
            self._record_result(job_id, route, 0, cause, arrived_at, progress)
            return Response(504)
        try:
            outcome = placement.result()
        except Exception:
            # The caller gets status 500 and does not send the job again.
            self.withdrawals.withdraw(job_id)
            raise
        response = self._build_response(
            job_id, route, outcome, arrived_at, progress
        )
        self._withdraw_from_silent_leader(
            job_id,
            progress,
            DISCONNECT_GRACE_S if response.status == 504 else 0.0,
        )
        return response

    def _withdraw_from_silent_leader(
        self, job_id: str, progress: _PlacementProgress, grace_s: float
    ) -> None:
        """Withdraws a job that a leader without an answer may still have.

        The heartbeats of this entry would keep it there without a caller.

        Args:
            job_id: Id of the job.
            progress: State of the job.
            grace_s: Time for which the caller may send the job again and
                should find it, in seconds.
        """
        if not progress.run_targets_known:
            self.withdrawals.withdraw_later(job_id, clock.now() + grace_s)

    async def _wait_for_outcome(
        self,
        placement: asyncio.Future,
        disconnected: asyncio.Future,
        caller_waits_until: float,
        lose_caller: Callable[[], None],
    ) -> None:
        """Waits until a job or the connection of its caller ends.

        The entry may not notice that the connection is lost. After its
        deadline, a caller may have sent the job to another entry, so that there
        is no further waiting while that entry may follow another leader.

        Args:
            placement: Ends with the outcome of the job.
            disconnected: Ends when the connection is closed or reset.
            caller_waits_until: Time after which the caller has given up.
            lose_caller: Called at that time.
        """
        events = (placement, disconnected)
        timeout = caller_waits_until - clock.now()
        while not placement.done() and not disconnected.done():
            await asyncio.wait(
                events,
                timeout=max(timeout, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not placement.done() and not disconnected.done():
                lose_caller()
            timeout = LEADER_CHECK_INTERVAL_S
            if self.withdrawals.may_have_other_leader:
                return

    def _lose_caller(self, job_id: str, progress: _PlacementProgress) -> None:
        """Ends the permission for a job whose caller may send it elsewhere.

        The leader decides whether it goes on until it is sent again. It is not
        told while the caller of another request waits here.
        """
        if progress.caller_is_lost:
            return
        progress.caller_is_lost = True
        if not self.withdrawals.has_other_request(job_id):
            self.coordinator.report_unanswered_job(job_id)

    async def _wait_for_lost_caller(self, placement: asyncio.Future) -> None:
        """Waits until a job without its caller ends, for a limited time.

        There is no waiting while the leader serves only this zone, or misses a
        member: the caller may resubmit the job at an entry that follows
        another leader, which does not know that the job runs.
        """
        give_up_at = clock.now() + DISCONNECT_GRACE_S
        while not placement.done() and clock.now() < give_up_at:
            if self.withdrawals.may_have_other_leader:
                return
            await asyncio.wait((placement,), timeout=LEADER_CHECK_INTERVAL_S)

    async def _offer_until_resolved(
        self,
        route: Route,
        job_id: str,
        spec: JobSpec,
        arrived_at: float,
        deadline: float,
        progress: _PlacementProgress,
    ) -> Outcome:
        """Offers a job to the leader, and to its successors if it fails.

        Args:
            route: Route that matched the request.
            job_id: Id of the job.
            spec: The job.
            arrived_at: Time at which the request arrived.
            deadline: Time until which the caller waits.
            progress: State of the job; updated after each offer.

        Returns:
            Outcome of the job. If no leader is found in time, `LOST` if tasks
            may have started and `REFUSED` if not.
        """
        first_offer_deadline = clock.now() + LEADER_WAIT_S
        while True:
            if self.coordinator.job_reports.is_cancelled(job_id):
                return CANCELED_OUTCOME
            if progress.caller_is_lost:
                return self._outcome_without_placer(progress)
            now = clock.now()
            leader = self.coordinator.leader
            if (
                leader is None
                or progress.failed_placer_token == leader.member.token
                or self.coordinator.leader_is_unresponsive
            ):
                # A leader that failed gets no further offer until the leader
                # changes.
                if now >= (
                    deadline if progress.offer_count else first_offer_deadline
                ):
                    return self._outcome_without_placer(progress)
                await self.coordinator.wait_for_leader_change(
                    min(0.25, max(first_offer_deadline - now, 0.01))
                )
                progress.failed_placer_token = ""
                continue
            offer = Offer(
                job_id,
                self.entry_name,
                route.policy,
                spec,
                now - arrived_at,
                max(deadline - now, 0.0),
                progress.may_have_started,
                progress.finished_tasks,
                progress.possible_run_targets,
                progress.run_targets_known,
                self.coordinator.fence,
                self.coordinator.answered_at,
                self.coordinator.local_member.token,
                self.coordinator.heartbeat_number,
                route.configuration_version,
            )
            progress.offer_count += 1
            self.coordinator.forget_withdrawal(job_id)
            outcome = await self._send_offer(leader, offer, progress)
            if outcome.kind is OutcomeKind.LOST and (
                self.coordinator.job_reports.is_cancelled(job_id)
            ):
                # It was withdrawn, or lost with a leader that was cut off.
                return CANCELED_OUTCOME
            if outcome.kind is not OutcomeKind.MOVED:
                return outcome
            route = self._newest_route(route, job_id)
            progress.finished_tasks = tuple(
                {*progress.finished_tasks, *outcome.done}
            )
            progress.possible_run_targets = tuple(
                {*progress.possible_run_targets, *outcome.placed}
            )
            if (
                clock.now() > first_offer_deadline
                and not progress.may_have_started
            ):
                return self._outcome_without_placer(progress)
            if clock.now() > deadline:
                return self._outcome_without_placer(progress)

    def _newest_route(self, route: Route, job_id: str) -> Route:
        """Returns the route for the next offer of a job.

        Another entry may have accepted a later request for the job, under a newer
        configuration. If the leader that had both is gone, nothing else tells
        its successor, which might get the offer of this entry first.
        """
        newest = self.site.routing_table.find_route(
            route.host, route.path_prefix + job_id
        )
        return route if newest is None or newest.needs_advice else newest

    async def _send_offer(self, leader, offer: Offer, progress) -> Outcome:
        """Sends one offer to a leader and updates the state of the job.

        Args:
            leader: Leader that receives the offer.
            offer: The offer.
            progress: State of the job.

        Returns:
            Outcome of the job; `MOVED` if the job should be offered again.
        """
        if leader.member == self.coordinator.local_member:
            driver = self.coordinator.driver
            if driver is None:
                progress.failed_placer_token = leader.member.token
                return Outcome(OutcomeKind.MOVED, REASON_NOT_LEADING)
            outcome = await driver.place(offer)
            if outcome.kind is OutcomeKind.MOVED:
                progress.may_have_started = True
                progress.failed_placer_token = leader.member.token
            return outcome
        answer = await self.links.call(
            leader.member.address,
            offer,
            offer.remaining + DISCONNECT_GRACE_S + PLACER_REPLY_MARGIN_S,
        )
        if answer.is_ok() and isinstance(answer.ok, Outcome):
            if answer.ok.kind is OutcomeKind.MOVED:
                progress.failed_placer_token = leader.member.token
                progress.may_have_started = progress.may_have_started or (
                    answer.ok.reason not in REASONS_NOT_STARTED
                )
            return answer.ok
        if not isinstance(answer.error, PeerRefused):
            progress.may_have_started = True
            progress.run_targets_known = False
        progress.failed_placer_token = leader.member.token
        self.coordinator.report_failed_call(leader)
        _logger.info(
            "leader did not answer an offer",
            extra={
                "job": offer.job_id,
                "placer": leader.member.name,
                "term": leader.term,
                "failure": type(answer.error).__name__,
            },
        )
        return Outcome(OutcomeKind.MOVED, "placer_lost")

    def _outcome_without_placer(self, progress: _PlacementProgress) -> Outcome:
        """Returns the outcome of a job for which no leader was found."""
        if progress.may_have_started:
            return Outcome(OutcomeKind.LOST, "no_placer")
        return Outcome(OutcomeKind.REFUSED, "no_placer", 1000)

    def _build_response(
        self,
        job_id: str,
        route: Route,
        outcome: Outcome,
        arrived_at: float,
        progress: _PlacementProgress,
    ) -> Response:
        match outcome.kind:
            case OutcomeKind.COMPLETED | OutcomeKind.FAILED:
                status = 200
                response = Response(200, encode_job_state(_state_of(outcome)))
            case OutcomeKind.REFUSED if not progress.may_have_started:
                status = 429 if outcome.reason == "overload" else 503
                response = self._refusal_response(
                    status, outcome.retry_after_ms
                )
            case _:
                status = 504
                response = Response(504)
                self._lose_caller(job_id, progress)
        reason = outcome.reason or outcome.kind.name.lower()
        self._record_result(job_id, route, status, reason, arrived_at, progress)
        return response

    def _refuse(
        self, job_id: str, reason: str, status: int, retry_ms: int
    ) -> Response:
        """Logs and counts a refusal that happens before any offer.

        Args:
            job_id: Id of the job; empty if it is not known.
            reason: Reason, for the log and the metric.
            status: HTTP status of the answer.
            retry_ms: Milliseconds after which the caller may retry; 0 for no
                Retry-After header.

        Returns:
            The answer to the caller.
        """
        self.counters.increment("refusals", reason=reason.replace(" ", "_"))
        _logger.warning(
            "request refused",
            extra={"job": job_id, "reason": reason, "status": status},
        )
        return self._refusal_response(status, retry_ms)

    def _refusal_response(self, status: int, retry_ms: int) -> Response:
        if not retry_ms:
            return Response(status)
        seconds = max(1, math.ceil(retry_ms / 1000))
        return Response(status, headers=(("Retry-After", str(seconds)),))

    def _record_result(
        self,
        job_id: str,
        route: Route,
        status: int,
        reason: str,
        arrived_at: float,
        progress: _PlacementProgress,
    ) -> None:
        """Logs and counts the end of a job.

        A status of 0 means that the caller closed its connection before the
        answer.
        """
        leader = self.coordinator.leader
        self.counters.increment(
            "jobs", queue=route.policy.name, reason=reason, status=str(status)
        )
        _logger.log(
            logging.INFO if status in (200, 429) else logging.WARNING,
            "request answered" if status else "caller gone",
            extra={
                "job": job_id,
                "queue": route.policy.name,
                "status": status,
                "reason": reason,
                "elapsed_ms": int((clock.now() - arrived_at) * 1000),
                "offers": progress.offer_count,
                "placer": leader.member.name if leader else None,
                "term": self.coordinator.term,
                "configuration": self.site.routing_table.version,
            },
        )


def _state_of(outcome: Outcome) -> JobState:
    """Returns the state of a job that has ended with an answer."""
    if outcome.kind is OutcomeKind.COMPLETED:
        return JobState.COMPLETED
    return JobState.CANCELED if outcome.is_canceled else JobState.FAILED


def _parse_deadline_s(request: Request) -> float:
    """Returns the seconds that the caller waits, from the deadline header."""
    return decode_deadline_s(request.headers.get(DEADLINE_HEADER))
