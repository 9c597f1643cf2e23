"""Answers callers: selects the queue and has the job placed."""

import asyncio
import logging
import math
import random
import string

import attrs

from anvilford.http1 import Request
from anvilford.http1 import Response
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLinks
from anvilford.peers import PeerRefused
from anvilford.placement import JobSpec
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.platform import DEADLINE_HEADER
from anvilford.platform import decode_job
from anvilford.platform import encode_pending
from anvilford.platform import encode_state
from anvilford.platform import ID_DIGITS
from anvilford.platform import InvalidJobBody
from anvilford.platform import UnsupportedJob
from anvilford.protocol import WithdrawJob
from anvilford.routing import Route
from anvilford.telemetry import Counters

# Callers that tell no deadline; the users' sheets have 1.5 s for all kinds.
DEFAULT_DEADLINE_S = 1.5
# How long a request may wait for a member that places jobs. A new leader is
# found within about half a second after the old one went silent.
LEADER_WAIT_S = 0.9
# A reset connection may be the network's fault: the caller then sends the job
# again 1.3 s later, and meets it still running.
DISCONNECT_GRACE_S = 1.6
# Callers that leave within this of their deadline will send the job again.
DEADLINE_TOLERANCE_S = 0.1
PLACER_REPLY_MARGIN_S = 0.5

_HEX = frozenset(string.hexdigits)
_logger = logging.getLogger(__name__)


@attrs.define
class _PlacementProgress:
    """What is known of a job while it is offered.

    Attributes:
        again: True once a placer may have started its tasks.
        done: Tasks that are known to be done.
        placed: Targets that may have runs of it.
        placed_is_known: False once a placer was lost without telling them.
        offers: Offers made.
        placer: Name of the member that has it.
    """

    may_have_started: bool = False
    finished_tasks: tuple[str, ...] = ()
    possible_run_targets: tuple[str, ...] = ()
    run_targets_known: bool = True
    offer_count: int = 0
    failed_placer_token: str = ""


class CallerRequestHandler:
    """Handles callers' requests.

    Attributes:
        name: Name of this entry.
        site: Configuration and targets.
        coordination: Knows who places jobs.
        links: Connections to other members.
        counters: Receives counts and latencies.
        refuses_new: True late in a planned stop.
        in_progress: Requests that are being answered.
    """

    def __init__(
        self,
        name: str,
        site: SiteView,
        coordination: LeadershipCoordinator,
        links: PeerLinks,
        counters: Counters,
    ):
        self.entry_name = name
        self.site = site
        self.coordinator = coordination
        self.links = links
        self.counters = counters
        self.rejects_new_jobs = False
        self.requests_in_progress = 0
        self._random = random.Random()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        self.requests_in_progress += 1
        started = clock.now()
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
                max(clock.now() - started, 0.0),
                status=str(response.status),
            )
        return response

    async def _answer_request(self, request: Request) -> Response:
        table = self.site.routing_table
        if table is None:
            return self._refuse("", "no_configuration", 503, 1000)
        path = request.target.partition("?")[0]
        route = table.find_route(request.headers.get("host", ""), path)
        if route is None:
            _logger.info(
                "no such queue",
                extra={"path": path, "configuration": table.version},
            )
            return Response(404)
        job_id = path[len(route.path_prefix) :]
        if request.method == "GET" and not job_id:
            name = route.policy.name
            return Response(
                200, encode_pending(self.coordinator.waiting_jobs.get(name, 0))
            )
        if len(job_id) != ID_DIGITS or not _HEX.issuperset(job_id):
            return Response(404)
        match request.method:
            case "POST":
                return await self._answer_submission(request, route, job_id)
            case "GET" | "DELETE":
                # Jobs are not kept, so none is known here after its answer.
                return Response(410)
            case _:
                return Response(405)

    async def _answer_submission(
        self, request: Request, route: Route, job_id: str
    ) -> Response:
        spec = decode_job(request.body)
        match spec:
            case InvalidJobBody(reason):
                _logger.warning(
                    "job malformed", extra={"job": job_id, "reason": reason}
                )
                return Response(400)
            case UnsupportedJob(feature):
                return self._refuse(job_id, "unsupported " + feature, 503, 0)
        if route.needs_advice:
            return self._refuse(job_id, "unsupported advice", 503, 0)
        if self.rejects_new_jobs:
            return self._refuse(job_id, "entry_stopping", 503, 0)
        return await self._place_until_deadline(request, route, job_id, spec)

    async def _place_until_deadline(
        self, request: Request, route: Route, job_id: str, spec: JobSpec
    ) -> Response:
        arrived = clock.now()
        wait = _parse_deadline_s(request)
        progress = _PlacementProgress()
        placing = asyncio.ensure_future(
            self._offer_until_resolved(
                route, job_id, spec, arrived, arrived + wait, progress
            )
        )
        await asyncio.wait(
            (placing, request.gone), return_when=asyncio.FIRST_COMPLETED
        )
        if not placing.done():
            left_early = clock.now() < arrived + wait - DEADLINE_TOLERANCE_S
            if left_early and not request.gone.result():
                cause = "caller_left"
            else:
                cause = "caller_lost"
                await asyncio.wait((placing,), timeout=DISCONNECT_GRACE_S)
            if not placing.done():
                placing.cancel()
                self._withdraw_job(job_id)
            self._record_result(job_id, route, 0, cause, arrived, progress)
            return Response(504)
        outcome = placing.result()
        return self._build_response(job_id, route, outcome, arrived, progress)

    async def _offer_until_resolved(
        self,
        route: Route,
        job_id: str,
        spec: JobSpec,
        arrived: float,
        deadline: float,
        progress: _PlacementProgress,
    ) -> Outcome:
        """Offers a job to the placing member, and to its successors."""
        last_try = arrived + LEADER_WAIT_S
        while True:
            now = clock.now()
            leader = self.coordinator.leader
            if (
                leader is None
                or progress.failed_placer_token == leader.member.token
                or self.coordinator.leader_is_unresponsive
            ):
                # Members that failed are not asked again before a change.
                if now >= (deadline if progress.offer_count else last_try):
                    return self._outcome_without_placer(progress)
                await self.coordinator.wait_for_leader_change(
                    min(0.25, max(last_try - now, 0.01))
                )
                progress.failed_placer_token = ""
                continue
            offer = Offer(
                job_id,
                self.entry_name,
                route.policy,
                spec,
                now - arrived,
                max(deadline - now, 0.0),
                progress.may_have_started,
                progress.finished_tasks,
                progress.possible_run_targets,
                progress.run_targets_known,
                self.coordinator.fence,
            )
            progress.offer_count += 1
            outcome = await self._send_offer(leader, offer, progress)
            if outcome.kind is not OutcomeKind.MOVED:
                return outcome
            progress.finished_tasks = tuple(
                {*progress.finished_tasks, *outcome.done}
            )
            progress.possible_run_targets = tuple(
                {*progress.possible_run_targets, *outcome.placed}
            )
            if (
                clock.now() > arrived + LEADER_WAIT_S
                and not progress.may_have_started
            ):
                return self._outcome_without_placer(progress)
            if clock.now() > deadline:
                return self._outcome_without_placer(progress)

    async def _send_offer(self, leader, offer: Offer, progress) -> Outcome:
        """Makes one offer; `MOVED` if another member should be asked."""
        if leader.member == self.coordinator.local_member:
            driver = self.coordinator.driver
            if driver is None:
                progress.failed_placer_token = leader.member.token
                return Outcome(OutcomeKind.MOVED, "not_leading")
            outcome = await driver.place(offer)
            if outcome.kind is OutcomeKind.MOVED:
                progress.may_have_started = True
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
                    answer.ok.reason != "not_leading"
                )
            return answer.ok
        if not isinstance(answer.error, PeerRefused):
            progress.may_have_started = True
            progress.run_targets_known = False
        progress.failed_placer_token = leader.member.token
        self.coordinator.report_failed_call(leader)
        _logger.info(
            "offer lost",
            extra={
                "job": offer.job_id,
                "placer": leader.member.name,
                "term": leader.term,
                "failure": type(answer.error).__name__,
            },
        )
        return Outcome(OutcomeKind.MOVED, "placer_lost")

    def _outcome_without_placer(self, progress: _PlacementProgress) -> Outcome:
        if progress.may_have_started:
            return Outcome(OutcomeKind.LOST, "no_placer")
        return Outcome(OutcomeKind.REFUSED, "no_placer", 1000)

    def _withdraw_job(self, job_id: str) -> None:
        leader = self.coordinator.leader
        if leader is None:
            return
        if leader.member == self.coordinator.local_member:
            driver = self.coordinator.driver
            if driver is not None:
                driver.withdraw(job_id, self.entry_name, "caller_left")
            return
        self.links.send(
            leader.member.address, WithdrawJob(job_id, self.entry_name)
        )

    def _build_response(
        self,
        job_id: str,
        route: Route,
        outcome: Outcome,
        arrived: float,
        progress: _PlacementProgress,
    ) -> Response:
        match outcome.kind:
            case OutcomeKind.COMPLETED | OutcomeKind.FAILED:
                completed = outcome.kind is OutcomeKind.COMPLETED
                status = 200
                response = Response(200, encode_state(completed))
            case OutcomeKind.REFUSED if not progress.may_have_started:
                status = 429 if outcome.reason == "overload" else 503
                response = self._refusal_response(
                    status, outcome.retry_after_ms
                )
            case _:
                status = 504
                response = Response(504)
        reason = outcome.reason or outcome.kind.name.lower()
        self._record_result(job_id, route, status, reason, arrived, progress)
        return response

    def _refuse(
        self, job_id: str, reason: str, status: int, retry_ms: int
    ) -> Response:
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
        arrived: float,
        progress: _PlacementProgress,
    ) -> None:
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
                "elapsed_ms": int((clock.now() - arrived) * 1000),
                "offers": progress.offer_count,
                "placer": leader.member.name if leader else None,
                "term": self.coordinator.term,
                "configuration": self.site.routing_table.version,
            },
        )


def _parse_deadline_s(request: Request) -> float:
    try:
        return int(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S
