"""Client that starts and cancels tasks on targets."""

import asyncio
import concurrent.futures
import contextlib
import threading
import time
from collections.abc import Callable

import attrs

from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import NotStartedReason
from anvilford.targets._call import Call
from anvilford.targets._call import perform_call
from anvilford.targets._exchange import Exchange
from anvilford.targets._exchange import TargetPool
from anvilford.targets._settings import AttemptToCancel
from anvilford.targets._settings import AttemptToStart
from anvilford.targets._settings import TargetSettings

_NOT_SENT = AttemptNotStarted(NotStartedReason.NOT_SENT)


@attrs.define
class _TargetConnections:
    """Connections to one target and the requests that use them.

    Attributes:
        address: "IP:port" of the target.
        max_connections: Maximum number of open connections.
        pool: Connection pool.
        in_flight: Number of requests that use or wait for a connection.
        starts_in_flight: Number of those requests that start a task.
        last_used_at: Monotonic time in seconds at which a request last started
            or ended.
    """

    address: str
    max_connections: int
    pool: TargetPool
    in_flight: int = 0
    starts_in_flight: int = 0
    last_used_at: float = 0.0


class TargetClient:
    """Calls targets from worker threads.

    The client is a context manager that owns the threads and connections. Its
    methods must be called on the event loop's thread and never block it. The
    loop must use the monotonic clock, as it does by default.

    Attributes:
        settings: Timeouts, limits and numbers of threads.
        connection_limit: Returns the maximum number of connections to a
            target, given its VM id. A changed value takes effect once no
            request to the target is in flight.
        in_flight: Exchanges of the attempts in flight, by attempt id.
    """

    def __init__(
        self, settings: TargetSettings, connection_limit: Callable[[str], int]
    ):
        self.settings = settings
        self.connection_limit = connection_limit
        self.in_flight: dict[str, Exchange] = {}
        self._targets: dict[str, _TargetConnections] = {}
        self._lock = threading.Lock()
        self._next_idle_check = 0.0

    def __enter__(self) -> "TargetClient":
        self._threads = _start_threads(self.settings.threads, "target")
        self._cancel_threads = _start_threads(
            self.settings.cancel_threads, "target-cancel"
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        for exchange in self.in_flight.values():
            if exchange.abort():
                _set_outcome(exchange.outcome, _NOT_SENT)
        for threads in (self._threads, self._cancel_threads):
            threads.shutdown(wait=False, cancel_futures=True)
        for target in self._targets.values():
            target.pool.close()
        self._targets.clear()

    async def start(
        self, attempt: AttemptToStart, lease_ms: int, traceparent: str
    ) -> AttemptOutcome:
        """Starts a task on a target and waits for its outcome.

        The target must stop the task when its lease ends. The lease ends
        `lease_ms` from now, or `grace_ms` after the deadline if that is
        earlier. The time left of it is computed just before sending.

        Args:
            attempt: Attempt to start; its id must not be in flight.
            lease_ms: Longest lease in milliseconds, counted from now.
            traceparent: W3C trace context, or "".

        Returns:
            The outcome. `AttemptNotStarted` proves that the task did not run.
        """
        now = time.monotonic()
        grace = self.settings.grace_ms / 1000
        lease_end = min(now + lease_ms / 1000, attempt.deadline + grace)
        target = self._get_target(attempt.target_id, attempt.address, now)
        if target is None or now >= min(lease_end, attempt.deadline):
            return _NOT_SENT
        exchange = Exchange(attempt.deadline, lease_end, self._lock)
        self.in_flight[attempt.attempt_id] = exchange
        target.starts_in_flight += 1
        try:
            return await self._run_call(
                target,
                exchange,
                self._threads,
                Call.start(attempt, traceparent),
            )
        finally:
            target.starts_in_flight -= 1
            del self.in_flight[attempt.attempt_id]

    async def cancel(self, attempt: AttemptToCancel) -> None:
        """Cancels an attempt, on the target if it may have been sent.

        An attempt of which nothing was sent ends as not sent. If attempts use
        all connections to the target, the attempt's own connection is closed
        to free one for the cancellation, and the attempt ends with an unknown
        outcome. A failed cancellation is not repeated, since the task stops
        anyway when its lease ends. The cancellation times out after the
        connect timeout plus the grace period.

        Args:
            attempt: Attempt to cancel; it may already have ended.
        """
        exchange = self.in_flight.get(attempt.attempt_id)
        if exchange is not None and exchange.abort_unsent():
            _set_outcome(exchange.outcome, _NOT_SENT)
            return
        now = time.monotonic()
        target = self._get_target(attempt.target_id, attempt.address, now)
        if target is None:
            return
        if (
            exchange is not None
            and target.starts_in_flight >= target.max_connections
        ):
            exchange.abort()
        window_ms = self.settings.connect_timeout_ms + self.settings.grace_ms
        cancel_deadline = now + window_ms / 1000
        cancellation = Exchange(cancel_deadline, cancel_deadline, self._lock)
        await self._run_call(
            target,
            cancellation,
            self._cancel_threads,
            Call.cancel(attempt),
        )

    def _get_target(
        self, target_id: str, address: str, now: float
    ) -> _TargetConnections | None:
        """Returns the connections to a target, creating them if necessary.

        The pool is replaced if the target's address has changed, or if its
        connection limit has changed and no request is in flight.

        Returns:
            The connections, or None if none may be opened to the target.
        """
        self._close_idle_pools(now)
        target = self._targets.get(target_id)
        limit = self.connection_limit(target_id)
        if target is not None and target.in_flight == 0:
            if (target.address, target.max_connections) == (address, limit):
                return target
            target.pool.close()
            target = None
        if target is None or target.address != address:
            if limit <= 0:
                return None
            target = _TargetConnections(
                address, limit, self._create_pool(address, limit)
            )
            self._targets[target_id] = target
        return target

    def _create_pool(self, address: str, limit: int) -> TargetPool:
        host, _, port = address.rpartition(":")
        return TargetPool(
            host,
            int(port),
            maxsize=limit,
            block=True,
            retries=False,
            idle_seconds=self.settings.idle_ms / 1000,
        )

    def _close_idle_pools(self, now: float) -> None:
        # Targets are replaced frequently. Without this check, idle connections
        # to the old ones would stay open until the process exits.
        if now < self._next_idle_check:
            return
        idle = self.settings.idle_ms / 1000
        self._next_idle_check = now + idle
        for target_id, target in list(self._targets.items()):
            if target.in_flight == 0 and now - target.last_used_at > idle:
                target.pool.close()
                del self._targets[target_id]

    async def _run_call(
        self,
        target: _TargetConnections,
        exchange: Exchange,
        threads: concurrent.futures.ThreadPoolExecutor,
        call: Call,
    ) -> AttemptOutcome:
        loop = asyncio.get_running_loop()
        outcome = exchange.outcome = loop.create_future()

        def run_call_in_thread() -> None:
            result = perform_call(call, target.pool, exchange, self.settings)
            # RuntimeError is raised if the loop was closed during the call.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(_set_outcome, outcome, result)

        def expire_exchange() -> None:
            if exchange.abort(expired=True):
                _set_outcome(outcome, _NOT_SENT)

        expires_at = exchange.lease_end + self.settings.grace_ms / 1000
        timer = loop.call_later(expires_at - time.monotonic(), expire_exchange)
        target.in_flight += 1
        target.last_used_at = time.monotonic()
        try:
            threads.submit(run_call_in_thread)
            return await outcome
        finally:
            timer.cancel()
            if not outcome.done() or outcome.cancelled():
                exchange.abort()
            target.in_flight -= 1
            target.last_used_at = time.monotonic()


def _start_threads(
    count: int, name: str
) -> concurrent.futures.ThreadPoolExecutor:
    """Returns an executor whose threads have all been started.

    An executor starts its threads when calls are submitted, and the start of a
    thread waits until it has a core. That would block the event loop.

    Raises:
        RuntimeError: The system refused to start a thread.
    """
    threads = concurrent.futures.ThreadPoolExecutor(count, name)
    # Each thread waits for the last one, so each call starts another thread.
    all_started = threading.Barrier(count)
    try:
        for _ in range(count):
            threads.submit(all_started.wait)
    except RuntimeError:
        all_started.abort()
        threads.shutdown(wait=False, cancel_futures=True)
        raise
    return threads


def _set_outcome(outcome: asyncio.Future, result: AttemptOutcome) -> None:
    if not outcome.done():
        outcome.set_result(result)
