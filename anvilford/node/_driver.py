"""Runs a placer: sends its orders and passes the answers back."""

import asyncio
import logging
import random
from collections.abc import Callable
from collections.abc import Iterable

from anvilford.node import _clock as clock
from anvilford.placement import Decision
from anvilford.placement import Effect
from anvilford.placement import FenceLost
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import Placer
from anvilford.placement import Poll
from anvilford.placement import Settle
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord
from anvilford.platform import TargetClient
from anvilford.telemetry import Counters

# Targets answer a start within a few milliseconds. An order without an answer
# by then is looked for and stopped, which must leave time to start again.
START_TIMEOUT_S = 0.1
STOP_TIMEOUT_S = 0.3
# Beyond the wait that a poll allows the target.
POLL_SLACK_S = 0.1
TICK_S = 0.02
# A process that was not scheduled for this long may have been replaced: its
# leases are about to end, and peers look for a new leader after 0.6 s.
SUSPENDED_S = 0.5

_logger = logging.getLogger(__name__)


class PlacerDriver:
    """Owns a placer and all that waits for its outcomes.

    Attributes:
        placer: The decisions.
        calls: Sends orders.
        counters: Receives counts.
        on_fence_lost: Called when a target obeys a higher fencing token.
        on_suspended: Called when the process stood still too long.
    """

    def __init__(
        self,
        fence: int,
        options: PlacementOptions,
        calls: TargetClient,
        counters: Counters,
        on_fence_lost: Callable[["PlacerDriver"], None],
        on_suspended: Callable[["PlacerDriver"], None],
    ):
        self.calls = calls
        self.counters = counters
        self.on_fence_lost = on_fence_lost
        self.on_suspended = on_suspended
        self.placer = Placer(fence, clock.now(), options, random.Random())
        self._waiters: dict[str, dict[str, asyncio.Future]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._ticker: asyncio.TimerHandle | None = None
        self._seen_at = clock.now()
        self._closed = False
        self._dispatch_is_due = False

    def open(
        self, records: Iterable[TargetRecord], dropped: Iterable[TargetRecord]
    ) -> None:
        """Claims the targets and starts to tick."""
        self.list_targets(records, dropped)
        self._tick()

    def close(self) -> None:
        """Gives all jobs up; another placer may take them over."""
        if self._closed:
            return
        self.placer.release_jobs(clock.now())
        self._closed = True
        for effect in self.placer.pop_effects():
            if isinstance(effect, Settle):
                self._settle(effect)
        if self._ticker is not None:
            self._ticker.cancel()
        for task in list(self._tasks):
            task.cancel()

    @property
    def is_idle(self) -> bool:
        """Whether it has no job."""
        return not self.placer.jobs

    def list_targets(
        self, records: Iterable[TargetRecord], dropped: Iterable[TargetRecord]
    ) -> None:
        """Applies the platform's list."""
        self.placer.apply_target_list(records, dropped, self._now())
        self._flush()

    def raise_fence(self, fence: int) -> None:
        """Claims the targets that were lost."""
        self.placer.raise_fence(fence, self._now())
        self._flush()

    def learned_speeds(self) -> dict[str, float]:
        """Speeds of targets, for the next placer."""
        return self.placer.fleet.measured_speeds()

    def assume_speeds(self, speeds: dict[str, float]) -> None:
        """Takes the speeds that an earlier placer learned."""
        if self._closed or not speeds:
            return
        taken = self.placer.fleet.restore_speeds(speeds)
        _logger.info("speeds taken over", extra={"targets": taken})

    async def place(self, offer: Offer) -> Outcome:
        """Places a job; returns when it has ended."""
        # Reading the time may close the driver, so it comes before the check.
        now = self._now()
        if self._closed:
            return Outcome(OutcomeKind.MOVED, "placer_closed")
        future = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(offer.job_id, {})
        previous = waiters.get(offer.entry)
        if previous is not None and not previous.done():
            previous.set_result(Outcome(OutcomeKind.LOST, "offered_again"))
        waiters[offer.entry] = future
        self.placer.offer(offer, now)
        self._flush()
        return await future

    def withdraw(self, job_id: str, entry: str, reason: str) -> None:
        """Ends an entry's interest; a job that nobody awaits is stopped."""
        waiters = self._waiters.get(job_id)
        future = waiters.pop(entry, None) if waiters else None
        if future is None:
            return
        if not future.done():
            future.set_result(Outcome(OutcomeKind.LOST, reason))
        if not waiters:
            self._waiters.pop(job_id, None)
            self.placer.withdraw(job_id, reason, self._now())
            self._flush()

    def withdraw_entry(self, entry: str) -> None:
        """Ends the interest of an entry that is silent."""
        for job_id in [j for j, w in self._waiters.items() if entry in w]:
            self.withdraw(job_id, entry, "entry_silent")

    def waiting_entries(self) -> set[str]:
        """Entries that wait for a job."""
        return {entry for w in self._waiters.values() for entry in w}

    def _now(self) -> float:
        """The time; reports a suspension before anything is decided."""
        now = clock.now()
        if now - self._seen_at > SUSPENDED_S and not self._closed:
            gap = now - self._seen_at
            self._seen_at = now
            _logger.warning(
                "process stood still", extra={"for_ms": int(gap * 1000)}
            )
            self.on_suspended(self)
        self._seen_at = now
        return now

    def _tick(self) -> None:
        if self._closed:
            return
        now = self._now()
        if self._closed:
            return
        self.placer.tick(now)
        self._flush()
        loop = asyncio.get_running_loop()
        self._ticker = loop.call_later(TICK_S, self._tick)

    def _flush(self) -> None:
        if self._closed:
            self.placer.pop_effects()
            return
        self._perform_all()
        if not self._dispatch_is_due:
            # All answers that have come by then are served together.
            self._dispatch_is_due = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._dispatch_is_due = False
        if self._closed:
            return
        now = self._now()
        if not self._closed:
            self.placer.dispatch(now)
            self._perform_all()

    def _perform_all(self) -> None:
        for effect in self.placer.pop_effects():
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case StartRun() | StopRun() | Poll():
                task = asyncio.get_running_loop().create_task(
                    self._order(effect)
                )
                self._tasks.add(task)
                task.add_done_callback(self._order_done)
            case Settle():
                self._settle(effect)
            case Decision(event, job_id, fields):
                level = logging.INFO if job_id else logging.WARNING
                extra = {"job": job_id, **fields} if job_id else fields
                _logger.log(level, event, extra=extra)
                self.counters.increment(
                    "decisions", event=event.replace(" ", "_")
                )
            case FenceLost():
                self.on_fence_lost(self)

    def _order_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("order failed", exc_info=task.exception())

    def _settle(self, effect: Settle) -> None:
        for future in self._waiters.pop(effect.job_id, {}).values():
            if not future.done():
                future.set_result(effect.outcome)

    async def _order(self, order: StartRun | StopRun | Poll) -> None:
        """Sends one order and applies its answer."""
        target = self.placer.fleet.targets.get(order.target_id)
        if target is None:
            return
        address = target.record.address
        sent_at = clock.now()
        match order:
            case StartRun():
                kind, observe = "start", self.placer.handle_start_answer
                answer = await self.calls.start(address, order, START_TIMEOUT_S)
            case StopRun():
                kind, observe = "stop", self.placer.handle_stop_answer
                answer = await self.calls.stop(address, order, STOP_TIMEOUT_S)
            case Poll(wait_ms=wait_ms):
                kind, observe = "poll", self.placer.handle_poll_answer
                timeout = wait_ms / 1000 + POLL_SLACK_S
                answer = await self.calls.poll(address, order, timeout)
        outcome = type(answer).__name__.lower()
        self.counters.increment("target_orders", kind=kind, outcome=outcome)
        if kind == "start":
            self.counters.observe("target_start", clock.now() - sent_at)
        if self._closed:
            return
        now = self._now()
        if self._closed:
            return
        observe(order, answer, now)
        self._flush()
