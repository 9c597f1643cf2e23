"""Runs a placer: sends its orders to targets and returns their answers."""

import asyncio
import logging
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

from anvilford.node import _clock as clock
from anvilford.placement import Accepted
from anvilford.placement import CrashHistory
from anvilford.placement import Decision
from anvilford.placement import Effect
from anvilford.placement import FenceLost
from anvilford.placement import NoAnswer
from anvilford.placement import Offer
from anvilford.placement import OrderAnswer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import Placer
from anvilford.placement import Poll
from anvilford.placement import PollAnswer
from anvilford.placement import Settle
from anvilford.placement import StartRun
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord
from anvilford.platform import TargetClient
from anvilford.telemetry import Counters

# Targets answer a start order within a few milliseconds. After the timeout, the
# placer polls the target for the run and stops it; the remaining time must
# suffice to start the task again.
START_ORDER_TIMEOUT_S = 0.1
# As long as the placer waits before it repeats a stop (`STOP_RETRY_S`).
STOP_ORDER_TIMEOUT_S = 0.1
# Time allowed for the answer to a poll, in addition to the poll's wait time.
POLL_TIMEOUT_MARGIN_S = 0.1
TICK_INTERVAL_S = 0.02
# A leader that was not scheduled for this long may have been replaced: the
# leases of its runs are about to end, and the other members search for a new
# leader after 0.6 s.
SUSPENSION_THRESHOLD_S = 0.5

_logger = logging.getLogger(__name__)


class PlacerDriver:
    """Connects a placer to the targets and to the entries that offer jobs.

    The driver exists while this member leads. After `close` it sends no order
    and accepts no job.

    Attributes:
        placer: Decides on which targets tasks run.
        target_client: Client that sends orders to targets.
        counters: Receives counts and latencies of orders.
        on_fence_lost: Called when a target obeys a higher fencing token, with
            the driver and whether the target had obeyed this placer before.
        on_suspended: Called with the driver when the process was suspended for
            longer than `SUSPENSION_THRESHOLD_S`.
    """

    def __init__(
        self,
        fence: int,
        options: PlacementOptions,
        target_client: TargetClient,
        counters: Counters,
        on_fence_lost: Callable[["PlacerDriver", bool], None],
        on_suspended: Callable[["PlacerDriver"], None],
        crashes: CrashHistory,
    ):
        self.target_client = target_client
        self.counters = counters
        self.on_fence_lost = on_fence_lost
        self.on_suspended = on_suspended
        self.placer = Placer(
            fence, clock.now(), options, random.Random(), crashes
        )
        self._waiters: dict[str, dict[str, asyncio.Future]] = {}
        self._order_tasks: set[asyncio.Task] = set()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_due_at = clock.now()
        self._clock_read_at = clock.now()
        self._closed = False
        self._dispatch_scheduled = False

    def start(
        self,
        records: Iterable[TargetRecord],
        removed: Iterable[TargetRecord],
        is_current: bool,
    ) -> None:
        """Claims the targets and starts the periodic tick.

        Args:
            records: Listed targets.
            removed: Targets that were recently removed from the list.
            is_current: As for `update_targets`.
        """
        self.update_targets(records, removed, is_current)
        self._tick()

    def close(self) -> None:
        """Hands back all jobs, so that another leader can place them."""
        if self._closed:
            return
        self.placer.release_jobs(clock.now())
        self._closed = True
        for effect in self.placer.pop_effects():
            if isinstance(effect, Settle):
                self._resolve_waiters(effect)
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for task in list(self._order_tasks):
            task.cancel()

    @property
    def is_idle(self) -> bool:
        """Whether the placer has no jobs."""
        return not self.placer.jobs

    def update_targets(
        self,
        records: Iterable[TargetRecord],
        removed: Iterable[TargetRecord],
        is_current: bool,
    ) -> None:
        """Passes a new target list to the placer.

        Args:
            records: Listed targets.
            removed: Targets that were recently removed from the list.
            is_current: Whether the list was read since this member began to
                lead or last raised its fencing token.
        """
        self.placer.apply_target_list(
            records, removed, self._read_clock(), is_current
        )
        self._run_effects()

    def raise_fence(self, fence: int, left_zones: Collection[str]) -> None:
        """Raises the fencing token and claims all targets again with it.

        Args:
            fence: The higher token.
            left_zones: As for `Placer.raise_fence`.
        """
        self.placer.raise_fence(fence, self._read_clock(), left_zones)
        self._run_effects()

    def fenced_zones(self) -> set[str]:
        """Returns the zones with targets that obey a higher fencing token."""
        return self.placer.fleet.fenced_zones()

    def measured_speeds(self) -> dict[str, float]:
        """Returns the measured speeds by target, for the next leader."""
        return self.placer.fleet.measured_speeds()

    def restore_speeds(self, speeds: dict[str, float]) -> None:
        """Starts with the speeds that an earlier leader measured."""
        if self._closed or not speeds:
            return
        accepted = self.placer.fleet.restore_speeds(speeds)
        _logger.info("speeds taken over", extra={"targets": accepted})

    def describe_interference(self) -> list[dict[str, Any]]:
        """Returns the kinds of tasks known to slow each other down."""
        return self.placer.fleet.interference.describe(clock.now())

    async def place(self, offer: Offer) -> Outcome:
        """Places a job and waits until it has ended.

        Args:
            offer: The job and the entry that offers it.

        Returns:
            Outcome of the job; `MOVED` if the driver is closed before the job
            ends.
        """
        # Reading the clock may detect a suspension and close the driver, so it
        # precedes the check.
        now = self._read_clock()
        if self._closed:
            return Outcome(OutcomeKind.MOVED, "placer_closed")
        future = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(offer.job_id, {})
        previous = waiters.get(offer.entry)
        if previous is not None and not previous.done():
            previous.set_result(Outcome(OutcomeKind.LOST, "offered_again"))
        waiters[offer.entry] = future
        self.placer.offer(offer, now)
        self._run_effects()
        return await future

    def withdraw(self, job_id: str, entry: str, reason: str) -> None:
        """Removes an entry that waits for a job; stops the job if none is left.

        Args:
            job_id: Id of the job.
            entry: Name of the entry.
            reason: Reason, for the outcome and the log.
        """
        waiters = self._waiters.get(job_id)
        future = waiters.pop(entry, None) if waiters else None
        if future is None:
            return
        if not future.done():
            future.set_result(Outcome(OutcomeKind.LOST, reason))
        if not waiters:
            self._waiters.pop(job_id, None)
        self.placer.withdraw(job_id, entry, reason, self._read_clock())
        self._run_effects()

    def stop_jobs_of(self, entry: str) -> None:
        """Stops all jobs of an entry that may follow another leader."""
        self.placer.stop_jobs_of(entry, self._read_clock())
        self._run_effects()

    def controls_zone(self, zone: str) -> bool | None:
        """As `Fleet.controls_zone`, at this moment."""
        result = self.placer.fleet.controls_zone(zone, self._read_clock())
        self._run_effects()
        return result

    def waiting_entries(self) -> set[str]:
        """Returns the names of the entries that wait for a job."""
        return {
            entry for waiters in self._waiters.values() for entry in waiters
        }

    def _read_clock(self) -> float:
        """Returns the time, after reporting a suspension if there was one.

        A reported suspension may close the driver.
        """
        now = clock.now()
        if (
            now - self._clock_read_at > SUSPENSION_THRESHOLD_S
            and not self._closed
        ):
            gap = now - self._clock_read_at
            self._clock_read_at = now
            _logger.warning(
                "process was suspended; its leadership may be lost",
                extra={"for_ms": int(gap * 1000)},
            )
            self.on_suspended(self)
        self._clock_read_at = now
        return now

    def _tick(self) -> None:
        if self._closed:
            return
        now = self._read_clock()
        if self._closed:
            return
        # Scheduled first, so that an exception cannot end the ticks.
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(TICK_INTERVAL_S, self._tick)
        self.placer.record_event_delay(max(now - self._tick_due_at, 0.0))
        self._tick_due_at = now + TICK_INTERVAL_S
        self.placer.tick(now)
        self._run_effects()

    def _run_effects(self) -> None:
        """Applies the placer's effects and schedules its next dispatch."""
        if self._closed:
            self.placer.pop_effects()
            return
        self._apply_effects()
        if not self._dispatch_scheduled:
            # One dispatch serves all answers that arrive before it runs.
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        if self._closed:
            return
        now = self._read_clock()
        if not self._closed:
            self.placer.dispatch(now)
            self._apply_effects()

    def _apply_effects(self) -> None:
        for effect in self.placer.pop_effects():
            self._apply_effect(effect)

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case StartRun() | StopRun() | Poll():
                task = asyncio.get_running_loop().create_task(
                    self._send_order(effect)
                )
                self._order_tasks.add(task)
                task.add_done_callback(self._finish_order)
            case Settle():
                self._resolve_waiters(effect)
            case Decision(event, job_id, fields):
                level = logging.INFO if job_id else logging.WARNING
                extra = {"job": job_id, **fields} if job_id else fields
                _logger.log(level, event, extra=extra)
                self.counters.increment(
                    "decisions", event=event.replace(" ", "_")
                )
            case FenceLost(was_owned=was_owned):
                self.on_fence_lost(self, was_owned)

    def _finish_order(self, task: asyncio.Task) -> None:
        self._order_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error(
                "order to a target ended with an exception",
                exc_info=task.exception(),
            )

    def _resolve_waiters(self, effect: Settle) -> None:
        for future in self._waiters.pop(effect.job_id, {}).values():
            if not future.done():
                future.set_result(effect.outcome)

    async def _send_order(self, order: StartRun | StopRun | Poll) -> None:
        """Sends one order and passes its answer to the placer."""
        target = self.placer.fleet.targets.get(order.target_id)
        if target is None:
            return
        sent_at = clock.now()
        match order:
            case StartRun():
                kind, observe = "start", self.placer.handle_start_answer
            case StopRun():
                kind, observe = "stop", self.placer.handle_stop_answer
            case Poll():
                kind, observe = "poll", self.placer.handle_poll_answer
        try:
            answer = await self._call_target(target.record.address, order)
        except Exception:
            # The placer waits for an answer to each order: without one, it
            # would never poll the target again.
            _logger.exception(
                "order to a target raised an exception; it counts as unanswered",
                extra={"target": order.target_id, "kind": kind},
            )
            answer = NoAnswer()
        outcome = type(answer).__name__.lower()
        self.counters.increment("target_orders", kind=kind, outcome=outcome)
        if kind == "start":
            self.counters.observe("target_start", clock.now() - sent_at)
        if self._closed:
            return
        now = self._read_clock()
        if self._closed:
            return
        observe(order, answer, now)
        if isinstance(answer, Accepted):
            # An accepted start or stop frees no target. Under overload, these
            # answers would cause half of the dispatches.
            self._apply_effects()
        else:
            self._run_effects()

    async def _call_target(
        self, address: str, order: StartRun | StopRun | Poll
    ) -> OrderAnswer | PollAnswer:
        """Sends an order to a target and returns the target's answer."""
        match order:
            case StartRun():
                return await self.target_client.start(
                    address, order, START_ORDER_TIMEOUT_S
                )
            case StopRun():
                return await self.target_client.stop(
                    address, order, STOP_ORDER_TIMEOUT_S
                )
            case Poll(wait_ms=wait_ms):
                timeout = wait_ms / 1000 + POLL_TIMEOUT_MARGIN_S
                return await self.target_client.poll(address, order, timeout)
