"""Runs an `EntryCore` on one asyncio loop: events, effects and polling."""

import asyncio
import contextlib
import itertools
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from anvilford.configuration import ROW_KEY
from anvilford.daemon._marks import encode_marks
from anvilford.daemon._marks import MARKS_ROW_KEY
from anvilford.daemon._marks import parse_marks
from anvilford.daemon._threads import LoopCallQueue
from anvilford.daemon._threads import ThreadFuture
from anvilford.entry import AttemptFinished
from anvilford.entry import CallPeer
from anvilford.entry import ConfigurationReceived
from anvilford.entry import DrainRequested
from anvilford.entry import Effect
from anvilford.entry import EntryCore
from anvilford.entry import Event
from anvilford.entry import IncrementCounter
from anvilford.entry import LogChange
from anvilford.entry import MarksReceived
from anvilford.entry import PeerFailed
from anvilford.entry import PeerMessage
from anvilford.entry import PeerReplied
from anvilford.entry import ReadMarks
from anvilford.entry import ReplyToPeer
from anvilford.entry import RequesterGone
from anvilford.entry import Respond
from anvilford.entry import RunAttempt
from anvilford.entry import SendToPeer
from anvilford.entry import StopAttempt
from anvilford.entry import Stopped
from anvilford.entry import SubmissionRequested
from anvilford.entry import Tick
from anvilford.entry import VmListReceived
from anvilford.entry import WriteMarks
from anvilford.model import EncodedAnswer
from anvilford.model import Incarnation
from anvilford.model import JobLimits
from anvilford.model import parse_job
from anvilford.model import parse_submission_id
from anvilford.protocol import ForwardReply
from anvilford.protocol import ForwardSubmission
from anvilford.protocol import Message
from anvilford.protocol import RequestKind
from anvilford.telemetry import Counters
from anvilford.telemetry import Tracing

# Number of poll intervals between reads of the marks' row once the core has
# read it and every mark is stored. Running entries exchange marks by gossip
# within a second; the row serves only entries that start.
MARKS_POLL_FACTOR = 5

# Seconds until the next tick after the core raised an exception, so that a
# persistent error cannot use all processor time.
ERROR_TICK_DELAY_S = 0.1

logger = logging.getLogger("anvilford.entry")


class EntryRuntime:
    """Passes events to an `EntryCore` and executes its effects.

    State is changed on the loop's thread only. Other threads use
    `call_from_thread`, `request_from_thread` and `request_drain`.

    Attributes:
        core: The entry's logic, without input and output.
        counters: Counters and latencies.
        tracing: Recorder of spans.
        platform: Client of the platform's VM list and table.
        poll_interval: Time between reads of the VM list and of the
            configuration, in seconds.
        job_limits: Bounds on jobs that peers forward.
        stopped: Set when a planned stop is complete.
        store_reachable: Whether the last read of the configuration row
            succeeded.
        loop: The event loop; None before `start`.
        target_client: Client of the targets; None before `start`.
        peer_links: Connections to other entries; None before `start`.
    """

    def __init__(
        self,
        core: EntryCore,
        counters: Counters,
        tracing: Tracing,
        platform: Any,
        poll_interval: float,
        job_limits: JobLimits,
    ):
        self.core = core
        self.counters = counters
        self.tracing = tracing
        self.platform = platform
        self.poll_interval = poll_interval
        self.job_limits = job_limits
        self.stopped = threading.Event()
        self.store_reachable = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.target_client: Any = None
        self.peer_links: Any = None
        self._pending_replies: dict[str, asyncio.Future | ThreadFuture] = {}
        self._loop_calls: LoopCallQueue | None = None
        self._request_numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def start(
        self,
        stack: contextlib.AsyncExitStack,
        target_client: Any,
        peer_links: Any,
    ) -> None:
        """Starts polling the platform and the core's ticks.

        Args:
            stack: Cancels the tasks of this object when it is closed.
            target_client: Open `TargetClient`.
            peer_links: Open `PeerLinks`.
        """
        self.loop = asyncio.get_running_loop()
        self._loop_calls = LoopCallQueue(self.loop)
        self.target_client = target_client
        self.peer_links = peer_links
        stack.push_async_callback(self._cancel_tasks)
        self._spawn(self._poll(self._read_vm_list))
        self._spawn(self._poll(self._read_configuration))
        self._spawn(self._poll_marks())
        self.handle(Tick())

    def handle(self, event: Event) -> None:
        """Passes an event to the core and executes its effects.

        Called on the loop's thread only.
        """
        now = self.loop.time()
        wakeup = now + ERROR_TICK_DELAY_S
        try:
            for effect in self.core.handle(event, now):
                self._execute(effect)
            wakeup = self.core.next_wakeup(now)
        finally:
            # The timer is set after an exception as well; otherwise no further
            # tick would occur.
            self._schedule_tick(wakeup)

    def _schedule_tick(self, wakeup: float) -> None:
        # A pending timer that is early enough stays: if it fires before the
        # wake-up time, it costs one `Tick`. Replacing it after every event
        # would fill the loop's heap with cancelled timers.
        if self._timer is not None:
            if self._timer.when() <= wakeup:
                return
            self._timer.cancel()
        self._timer = self.loop.call_at(wakeup, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle(Tick())

    def call_from_thread(
        self, function: Callable[[], Any], timeout: float | None = None
    ) -> Any:
        """Runs a function on the loop's thread; returns its result.

        Called on other threads only.

        Args:
            function: Function without arguments.
            timeout: Longest wait in seconds; None waits without limit.

        Raises:
            Exception: Whatever the function raised.
            TimeoutError: There was no result within `timeout` seconds.
        """
        reply = ThreadFuture()

        def run() -> None:
            try:
                reply.set_result(function())
            except Exception as error:  # pylint: disable=broad-except
                reply.set_exception(error)

        self._loop_calls.put(run)
        return reply.result(timeout)

    def request_from_thread(
        self, make_event: Callable[[str], SubmissionRequested], wait: float
    ) -> EncodedAnswer | None:
        """Passes a caller's request to the core and waits for the answer.

        Called on other threads only.

        Args:
            make_event: Returns the event for the request id that is assigned
                here.
            wait: Longest wait in seconds.

        Returns:
            The answer, or None if there was none within `wait`.
        """
        reply = ThreadFuture()
        self._loop_calls.put(lambda: self._start_request(make_event, reply))
        try:
            return reply.result(wait)
        except TimeoutError:
            self._loop_calls.put(lambda: self._abandon_request(reply))
            return None

    def _start_request(
        self,
        make_event: Callable[[str], SubmissionRequested],
        reply: ThreadFuture,
    ) -> None:
        reply.request_id = f"r{next(self._request_numbers)}"
        self._pending_replies[reply.request_id] = reply
        try:
            self.handle(make_event(reply.request_id))
        except Exception as error:  # pylint: disable=broad-except
            self._pending_replies.pop(reply.request_id, None)
            reply.set_exception(error)

    def _abandon_request(self, reply: ThreadFuture) -> None:
        if self._pending_replies.pop(reply.request_id, None) is not None:
            self.handle(RequesterGone(reply.request_id))

    async def _request_on_loop(
        self, make_event: Callable[[str], SubmissionRequested], wait: float
    ) -> EncodedAnswer | None:
        """Does what `request_from_thread` does, for coroutines on the loop."""
        request_id = f"r{next(self._request_numbers)}"
        answer = self.loop.create_future()
        self._pending_replies[request_id] = answer
        self.handle(make_event(request_id))
        try:
            async with asyncio.timeout(wait):
                return await answer
        except TimeoutError:
            self.handle(RequesterGone(request_id))
            return None
        finally:
            self._pending_replies.pop(request_id, None)

    async def receive(
        self, sender: Incarnation, message: Message
    ) -> Message | None:
        """Handles a message from a peer.

        Args:
            sender: Incarnation that sent the message.
            message: The message.

        Returns:
            The reply, or None if the message has none. A forwarded submission
            is answered when the core has the answer; a malformed one is not
            answered.
        """
        if isinstance(message, ForwardSubmission):
            return await self._handle_forwarded_request(message)
        request_id = f"p{next(self._request_numbers)}"
        reply = self.loop.create_future()
        self._pending_replies[request_id] = reply
        self.handle(PeerMessage(sender, message, request_id))
        self._pending_replies.pop(request_id, None)
        return reply.result() if reply.done() else None

    async def _handle_forwarded_request(
        self, message: ForwardSubmission
    ) -> ForwardReply | None:
        submission_id = parse_submission_id(message.submission_id)
        if submission_id.is_error():
            return None
        job = None
        if message.kind is RequestKind.SUBMIT:
            parsed = parse_job(message.job, self.job_limits)
            if parsed.is_error():
                return None
            job = parsed.ok
        with self.tracing.span(
            "submission.forwarded", message.traceparent
        ) as traceparent:
            answer = await self._request_on_loop(
                lambda request_id: SubmissionRequested(
                    request_id,
                    message.caller,
                    submission_id.ok,
                    message.kind,
                    job,
                    message.job,
                    message.deadline_ms,
                    message.hops,
                    traceparent,
                ),
                message.deadline_ms / 1000 + 1.0,
            )
        return None if answer is None else ForwardReply(answer)

    def request_drain(self) -> None:
        """Begins a planned stop.

        May be called on any thread and in a signal handler.
        """
        self.loop.call_soon_threadsafe(self.handle, DrainRequested())

    def _execute(self, effect: Effect) -> None:
        match effect:
            case RunAttempt():
                self._spawn(self._run_attempt(effect))
            case StopAttempt(cancel):
                self.counters.increment("attempts_cancelled")
                self._spawn(self.target_client.cancel(cancel))
            case Respond(request_id, answer):
                self._resolve(request_id, answer)
            case ReplyToPeer(request_id, message):
                self._resolve(request_id, message)
            case CallPeer():
                self._spawn(self._call_peer(effect))
            case ReadMarks():
                self._spawn(self._read_marks())
            case WriteMarks():
                self._spawn(self._write_marks(effect))
            case SendToPeer(address, message):
                self.peer_links.send(address, message)
            case IncrementCounter(name, labels, amount):
                self.counters.increment(name, amount, **dict(labels))
            case LogChange(change, fields):
                logger.info(change, extra=dict(fields))
            case Stopped():
                self.stopped.set()

    def _resolve(self, request_id: str, value: Any) -> None:
        reply = self._pending_replies.pop(request_id, None)
        if reply is not None and not reply.done():
            reply.set_result(value)

    async def _run_attempt(self, effect: RunAttempt) -> None:
        start = effect.start
        self.counters.increment("attempts_started")
        started_at = time.monotonic()
        with self.tracing.span(
            "task.attempt",
            effect.traceparent,
            target=start.target_id,
            operation=start.task.operation,
        ) as traceparent:
            lease_ms = int(max(0.0, start.deadline - self.loop.time()) * 1000)
            outcome = await self.target_client.start(
                start, lease_ms, traceparent
            )
        self.counters.observe("attempt", time.monotonic() - started_at)
        self.handle(AttemptFinished(start.attempt_id, start.target_id, outcome))

    async def _call_peer(self, effect: CallPeer) -> None:
        result = await self.peer_links.call(
            effect.address, effect.message, effect.timeout
        )
        if result.is_ok():
            self.handle(PeerReplied(effect.call, result.ok))
        else:
            self.handle(PeerFailed(effect.call))

    async def _poll(self, read: Callable) -> None:
        while True:
            await self._read_catching_errors(read)
            await asyncio.sleep(self.poll_interval)

    async def _read_catching_errors(self, read: Callable) -> None:
        """Runs one read; logs an exception so that polling continues."""
        try:
            await read()
        except Exception:  # pylint: disable=broad-except
            self.counters.increment("internal_errors")
            logger.exception("platform poll failed; it is repeated")

    async def _poll_marks(self) -> None:
        while True:
            await self._read_catching_errors(self._read_marks)
            marks = self.core.marks
            is_settled = marks.was_read and marks.is_stored
            factor = MARKS_POLL_FACTOR if is_settled else 1
            await asyncio.sleep(self.poll_interval * factor)

    async def _read_marks(self) -> None:
        result = await self.platform.read_row(MARKS_ROW_KEY)
        if result.is_error():
            self.counters.increment("platform_failures", service="table")
            return
        version, marks = parse_marks(result.ok)
        self.handle(MarksReceived(version, marks))

    async def _write_marks(self, effect: WriteMarks) -> None:
        value = encode_marks(effect.marks)
        result = await self.platform.write_row(
            MARKS_ROW_KEY, effect.expected_version, value
        )
        if result.is_ok():
            self.counters.increment("marks_stored")
        else:
            # The write failed, or another entry wrote the row first; the read
            # below returns the current row.
            await asyncio.sleep(self.poll_interval)
        await self._read_marks()

    async def _read_vm_list(self) -> None:
        result = await self.platform.list_vms()
        if result.is_ok():
            self.handle(VmListReceived(result.ok.revision, result.ok.vms))
            # Entry VMs are replaced continually, and links to those that are
            # gone would accumulate.
            addresses = self.core.directory.entry_addresses()
            self.peer_links.close_all_except(
                addresses | set(self.core.options.seeds)
            )
        else:
            self.counters.increment("platform_failures", service="vms")

    async def _read_configuration(self) -> None:
        result = await self.platform.read_row(ROW_KEY)
        self.store_reachable = result.is_ok()
        if result.is_error():
            self.counters.increment("platform_failures", service="table")
        elif result.ok is None:
            self.handle(ConfigurationReceived(0, {}))
        else:
            row = result.ok
            self.handle(ConfigurationReceived(row.version, row.value))

    def _spawn(self, coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters.increment("internal_errors")
            logger.error("background task failed", exc_info=task.exception())

    async def _cancel_tasks(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
