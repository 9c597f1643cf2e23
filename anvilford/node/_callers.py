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
from anvilford.node._coordination import Coordination
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
DEFAULT_WAIT_S = 1.5
# How long a request may wait for a member that places jobs. A new leader is
# found within about half a second after the old one went silent.
NO_LEADER_WAIT_S = 0.9
# A reset connection may be the network's fault: the caller then sends the job
# again 1.3 s later, and meets it still running.
LINGER_S = 1.6
# Callers that leave within this of their deadline will send the job again.
DEADLINE_SLACK_S = 0.1
PLACER_ANSWER_SLACK_S = 0.5

_HEX = frozenset(string.hexdigits)
_logger = logging.getLogger(__name__)


@attrs.define
class _Progress:
    """What is known of a job while it is offered.

    Attributes:
        again: True once a placer may have started its tasks.
        done: Tasks that are known to be done.
        placed: Targets that may have runs of it.
        placed_is_known: False once a placer was lost without telling them.
        offers: Offers made.
        placer: Name of the member that has it.
    """

    again: bool = False
    done: tuple[str, ...] = ()
    placed: tuple[str, ...] = ()
    placed_is_known: bool = True
    offers: int = 0
    placer: str = ""


class CallerPort:
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
        coordination: Coordination,
        links: PeerLinks,
        counters: Counters,
    ):
        self.name = name
        self.site = site
        self.coordination = coordination
        self.links = links
        self.counters = counters
        self.refuses_new = False
        self.in_progress = 0
        self._rng = random.Random()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        self.in_progress += 1
        started = clock.now()
        try:
            response = await self._route(request)
        finally:
            self.in_progress -= 1
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

    async def _route(self, request: Request) -> Response:
        table = self.site.table
        if table is None:
            return self._refuse("", "no_configuration", 503, 1000)
        path = request.target.partition("?")[0]
        route = table.find(request.headers.get("host", ""), path)
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
                200, encode_pending(self.coordination.pending.get(name, 0))
            )
        if len(job_id) != ID_DIGITS or not _HEX.issuperset(job_id):
            return Response(404)
        match request.method:
            case "POST":
                return await self._submit(request, route, job_id)
            case "GET" | "DELETE":
                # Jobs are not kept, so none is known here after its answer.
                return Response(410)
            case _:
                return Response(405)

    async def _submit(
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
        if self.refuses_new:
            return self._refuse(job_id, "entry_stopping", 503, 0)
        return await self._place(request, route, job_id, spec)

    async def _place(
        self, request: Request, route: Route, job_id: str, spec: JobSpec
    ) -> Response:
        arrived = clock.now()
        wait = _deadline_s(request)
        progress = _Progress()
        placing = asyncio.ensure_future(
            self._offer_until_settled(
                route, job_id, spec, arrived, arrived + wait, progress
            )
        )
        await asyncio.wait(
            (placing, request.disconnected), return_when=asyncio.FIRST_COMPLETED
        )
        if not placing.done():
            left_early = clock.now() < arrived + wait - DEADLINE_SLACK_S
            if left_early and not request.disconnected.result():
                cause = "caller_left"
            else:
                cause = "caller_lost"
                await asyncio.wait((placing,), timeout=LINGER_S)
            if not placing.done():
                placing.cancel()
                self._withdraw(job_id)
            self._log_end(job_id, route, 0, cause, arrived, progress)
            return Response(504)
        outcome = placing.result()
        return self._respond(job_id, route, outcome, arrived, progress)

    async def _offer_until_settled(
        self,
        route: Route,
        job_id: str,
        spec: JobSpec,
        arrived: float,
        deadline: float,
        progress: _Progress,
    ) -> Outcome:
        """Offers a job to the placing member, and to its successors."""
        last_try = arrived + NO_LEADER_WAIT_S
        while True:
            now = clock.now()
            leader = self.coordination.leader
            if (
                leader is None
                or progress.placer == leader.member.token
                or self.coordination.leader_is_doubtful
            ):
                # Members that failed are not asked again before a change.
                if now >= (deadline if progress.offers else last_try):
                    return self._no_placer(progress)
                await self.coordination.wait_for_change(
                    min(0.25, max(last_try - now, 0.01))
                )
                progress.placer = ""
                continue
            offer = Offer(
                job_id,
                self.name,
                route.policy,
                spec,
                now - arrived,
                max(deadline - now, 0.0),
                progress.again,
                progress.done,
                progress.placed,
                progress.placed_is_known,
                self.coordination.fence,
            )
            progress.offers += 1
            outcome = await self._offer(leader, offer, progress)
            if outcome.kind is not OutcomeKind.MOVED:
                return outcome
            progress.done = tuple({*progress.done, *outcome.done})
            progress.placed = tuple({*progress.placed, *outcome.placed})
            if clock.now() > arrived + NO_LEADER_WAIT_S and not progress.again:
                return self._no_placer(progress)
            if clock.now() > deadline:
                return self._no_placer(progress)

    async def _offer(self, leader, offer: Offer, progress) -> Outcome:
        """Makes one offer; `MOVED` if another member should be asked."""
        if leader.member == self.coordination.me:
            driver = self.coordination.driver
            if driver is None:
                progress.placer = leader.member.token
                return Outcome(OutcomeKind.MOVED, "not_leading")
            outcome = await driver.place(offer)
            if outcome.kind is OutcomeKind.MOVED:
                progress.again = True
            return outcome
        answer = await self.links.call(
            leader.member.address,
            offer,
            offer.remaining + LINGER_S + PLACER_ANSWER_SLACK_S,
        )
        if answer.is_ok() and isinstance(answer.ok, Outcome):
            if answer.ok.kind is OutcomeKind.MOVED:
                progress.placer = leader.member.token
                progress.again = progress.again or (
                    answer.ok.reason != "not_leading"
                )
            return answer.ok
        if not isinstance(answer.error, PeerRefused):
            progress.again = True
            progress.placed_is_known = False
        progress.placer = leader.member.token
        self.coordination.suspect(leader)
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

    def _no_placer(self, progress: _Progress) -> Outcome:
        if progress.again:
            return Outcome(OutcomeKind.LOST, "no_placer")
        return Outcome(OutcomeKind.REFUSED, "no_placer", 1000)

    def _withdraw(self, job_id: str) -> None:
        leader = self.coordination.leader
        if leader is None:
            return
        if leader.member == self.coordination.me:
            driver = self.coordination.driver
            if driver is not None:
                driver.withdraw(job_id, self.name, "caller_left")
            return
        self.links.send(leader.member.address, WithdrawJob(job_id, self.name))

    def _respond(
        self,
        job_id: str,
        route: Route,
        outcome: Outcome,
        arrived: float,
        progress: _Progress,
    ) -> Response:
        match outcome.kind:
            case OutcomeKind.COMPLETED | OutcomeKind.FAILED:
                completed = outcome.kind is OutcomeKind.COMPLETED
                status = 200
                response = Response(200, encode_state(completed))
            case OutcomeKind.REFUSED if not progress.again:
                status = 429 if outcome.reason == "overload" else 503
                response = self._refusal(status, outcome.retry_after_ms)
            case _:
                status = 504
                response = Response(504)
        reason = outcome.reason or outcome.kind.name.lower()
        self._log_end(job_id, route, status, reason, arrived, progress)
        return response

    def _refuse(
        self, job_id: str, reason: str, status: int, retry_ms: int
    ) -> Response:
        self.counters.increment("refusals", reason=reason.replace(" ", "_"))
        _logger.warning(
            "request refused",
            extra={"job": job_id, "reason": reason, "status": status},
        )
        return self._refusal(status, retry_ms)

    def _refusal(self, status: int, retry_ms: int) -> Response:
        if not retry_ms:
            return Response(status)
        seconds = max(1, math.ceil(retry_ms / 1000))
        return Response(status, headers=(("Retry-After", str(seconds)),))

    def _log_end(
        self,
        job_id: str,
        route: Route,
        status: int,
        reason: str,
        arrived: float,
        progress: _Progress,
    ) -> None:
        leader = self.coordination.leader
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
                "offers": progress.offers,
                "placer": leader.member.name if leader else None,
                "term": self.coordination.term,
                "configuration": self.site.table.version,
            },
        )


def _deadline_s(request: Request) -> float:
    try:
        return int(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_WAIT_S
