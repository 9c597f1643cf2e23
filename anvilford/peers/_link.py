"""Outgoing connection to one peer, with reconnection and backoff."""

import asyncio
import collections
import itertools
import logging
import random

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.peers._stream import encode_frame
from anvilford.peers._stream import FrameStream
from anvilford.peers._stream import READ_BUFFER_LIMIT_BYTES
from anvilford.peers._stream import split_address
from anvilford.peers._tasks import TaskScope
from anvilford.peers._types import CounterSink
from anvilford.peers._types import PeerFailure
from anvilford.peers._types import PeerLimits
from anvilford.peers._types import PeerLost
from anvilford.peers._types import PeerRefused
from anvilford.peers._types import PeerTimeout
from anvilford.peers._types import RefusedReason
from anvilford.protocol import Envelope
from anvilford.protocol import Hello
from anvilford.protocol import Message

_logger = logging.getLogger(__name__)


@attrs.define
class PendingRequest:
    """A request that waits for its reply.

    Attributes:
        request_id: Id unique per link; the reply carries the same id.
        reply: Result of the call, a `Result[Message, PeerFailure]`; set by
            the task that receives replies, or when the connection ends.
        sent: True once the request was written to the connection.
    """

    request_id: int
    reply: asyncio.Future
    sent: bool = False


class PeerLink:
    """Connection to one peer, opened on demand and reopened after a loss.

    After a failed attempt or a lost connection, the next attempt waits for a
    pause that grows exponentially. Calls made during the pause are refused at
    once, because a caller's thread is blocked for each. One-way messages are
    queued until the next attempt and dropped if it fails.

    Attributes:
        address: "IP:port" of the peer.
        hello: First message on each connection; authenticates this process.
        counters: Receives counts of messages, bytes and failures.
        rng: Random numbers for the jitter of the pauses.
        limits: Timeouts, backoff and sizes.
        tasks: Scope that owns the background tasks of the connection.
        consecutive_failures: Failed attempts and lost connections since the
            last connection that lasted at least `limits.max_backoff_s`.
        retry_at: Loop time, in seconds, before which no attempt starts.
    """

    def __init__(
        self,
        address: str,
        hello: Hello,
        counters: CounterSink,
        rng: random.Random,
        limits: PeerLimits,
        tasks: TaskScope,
    ):
        self.address = address
        self.hello = hello
        self.counters = counters
        self.rng = rng
        self.limits = limits
        self.tasks = tasks
        self.consecutive_failures = 0
        self.retry_at = 0.0
        self._stream: FrameStream | None = None
        self._connect_attempt: asyncio.Future[FrameStream | None] | None = None
        self._pending: dict[int, PendingRequest] = {}
        self._request_ids = itertools.count(1)
        self._queued_messages: collections.deque[Message] = collections.deque()
        self._queue_changed = asyncio.Event()
        self._running_tasks: set[asyncio.Task] = set()
        self._closed = False
        self._reachable = True

    async def call(
        self, message: Message, timeout_s: float
    ) -> Result[Message, PeerFailure]:
        """Sends a request and waits for its reply.

        Args:
            message: The request.
            timeout_s: Time in seconds for connecting, sending and waiting for
                the reply together.

        Returns:
            The reply or the failure, as documented for `PeerLinks.call`.
        """
        if timeout_s <= 0:
            return Error(PeerRefused(RefusedReason.TIMEOUT))
        loop = asyncio.get_running_loop()
        request = PendingRequest(next(self._request_ids), loop.create_future())
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send_and_await_reply(request, message)
        except TimeoutError:
            if request.sent:
                return Error(PeerTimeout())
            return Error(PeerRefused(RefusedReason.TIMEOUT))
        finally:
            self._pending.pop(request.request_id, None)

    async def _send_and_await_reply(
        self, request: PendingRequest, message: Message
    ) -> Result[Message, PeerFailure]:
        encoded = encode_frame(
            Envelope(request.request_id, False, message), self.limits
        )
        if encoded.is_error():
            return Error(PeerRefused(RefusedReason.UNSENDABLE))
        stream = self._stream
        if stream is None:
            if self._closed:
                return Error(PeerRefused(RefusedReason.CLOSED))
            if asyncio.get_running_loop().time() < self.retry_at:
                return Error(PeerRefused(RefusedReason.BACKOFF))
            stream = await asyncio.shield(self._ensure_connecting())
            if stream is None:
                return Error(PeerRefused(RefusedReason.CONNECT))
        self._pending[request.request_id] = request
        if not await stream.send(encoded.ok):
            return Error(PeerRefused(RefusedReason.CLOSED))
        request.sent = True
        self._count_sent(message, encoded.ok)
        return await request.reply

    def send(self, message: Message) -> None:
        """Writes a one-way message, or queues it if that would have to wait.

        If the queue is full, its oldest message is dropped.
        """
        if self._closed:
            self._count_dropped(message, "closed")
            return
        if self._stream is not None and not self._queued_messages:
            encoded = encode_frame(Envelope(0, False, message), self.limits)
            if encoded.is_error():
                self._count_dropped(message, "unsendable")
                return
            if self._stream.try_send(encoded.ok):
                self._count_sent(message, encoded.ok)
                return
        if len(self._queued_messages) >= self.limits.max_queued_messages:
            self._count_dropped(self._queued_messages.popleft(), "queue_full")
        self._queued_messages.append(message)
        self._queue_changed.set()
        if self._stream is None:
            self._ensure_connecting()

    def close(self) -> None:
        """Closes the connection and drops queued messages.

        Calls whose request was sent end with `PeerLost`.
        """
        self._closed = True
        for task in self._running_tasks:
            task.cancel()
        if self._connect_attempt is not None:
            self._connect_attempt.set_result(None)
        if self._stream is not None:
            self._close_stream(self._stream)
        self._drop_queued_messages("closed")

    def _ensure_connecting(self) -> asyncio.Future[FrameStream | None]:
        """Returns the connection attempt in progress, or starts one.

        Returns:
            Future whose result is the open stream, or None if the attempt
            failed.
        """
        if self._connect_attempt is None:
            self._connect_attempt = asyncio.get_running_loop().create_future()
            self._start_task(self._connect(self._connect_attempt))
        return self._connect_attempt

    def _start_task(self, coroutine) -> None:
        task = self.tasks.start(coroutine)
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)

    async def _connect(self, attempt: asyncio.Future) -> None:
        """Waits for the pause to end, then tries once to connect.

        Args:
            attempt: Future that receives the stream, or None on failure.
        """
        stream = None
        try:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(self.retry_at - loop.time())
            stream = await self._open_stream()
        finally:
            # Set the result even if this task is cancelled; otherwise calls
            # that wait for the attempt would hang until their timeout.
            self._connect_attempt = None
            self._stream = stream
            if not attempt.done():
                attempt.set_result(stream)
        if stream is None:
            self._schedule_retry()
            self._drop_queued_messages("unreachable")
        else:
            self._start_task(self._receive_replies(stream, loop.time()))
            self._start_task(self._send_queued_messages(stream))

    async def _open_stream(self) -> FrameStream | None:
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(self.limits.connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=READ_BUFFER_LIMIT_BYTES
                )
        except (OSError, ValueError) as error:
            self.counters.increment("peer_connect_failures")
            if self._reachable:
                self._reachable = False
                _logger.warning(
                    "peer unreachable",
                    extra={"peer": self.address, "error": repr(error)},
                )
            return None
        if not self._reachable:
            self._reachable = True
            _logger.info("peer reachable", extra={"peer": self.address})
        stream = FrameStream(reader, writer, self.limits)
        stream.set_socket_options()
        hello_frame = encode_frame(Envelope(0, False, self.hello), self.limits)
        stream.try_send(hello_frame.ok)
        return stream

    async def _receive_replies(
        self, stream: FrameStream, opened_at: float
    ) -> None:
        """Matches replies to pending requests until the connection ends.

        Args:
            stream: The connection.
            opened_at: Loop time at which it was opened, in seconds.
        """
        while (received := await stream.receive()).is_ok():
            envelope = received.ok
            request = self._pending.pop(envelope.request_id, None)
            if not envelope.is_reply or request is None:
                self.counters.increment("peer_replies_unmatched")
            elif not request.reply.done():
                request.reply.set_result(Ok(envelope.message))
        duration_s = asyncio.get_running_loop().time() - opened_at
        if duration_s >= self.limits.max_backoff_s:
            self.consecutive_failures = 0
        self._schedule_retry()
        self.counters.increment(
            "peer_connections_lost", reason=type(received.error).__name__
        )
        self._close_stream(stream)

    def _close_stream(self, stream: FrameStream) -> None:
        stream.close()
        if self._stream is stream:
            self._stream = None
        # Wakes `_send_queued_messages`, which ends once the stream is replaced.
        self._queue_changed.set()
        for request in self._pending.values():
            if not request.reply.done():
                request.reply.set_result(Error(PeerLost()))
        if self._queued_messages and not self._closed:
            self._ensure_connecting()

    async def _send_queued_messages(self, stream: FrameStream) -> None:
        """Writes queued messages until the connection ends."""
        while self._stream is stream:
            if not self._queued_messages:
                self._queue_changed.clear()
                await self._queue_changed.wait()
                continue
            message = self._queued_messages.popleft()
            encoded = encode_frame(Envelope(0, False, message), self.limits)
            if encoded.is_error():
                self._count_dropped(message, "unsendable")
            elif await stream.send(encoded.ok):
                self._count_sent(message, encoded.ok)
            else:
                self._count_dropped(message, "connection_lost")

    def _schedule_retry(self) -> None:
        self.consecutive_failures += 1
        limits = self.limits
        # The exponent is bounded because 2.0 ** 1024 raises OverflowError.
        pause_s = limits.min_backoff_s * 2.0 ** min(
            self.consecutive_failures - 1, 32
        )
        # Jitter spreads the reconnections of many peers over time.
        pause_s = min(pause_s, limits.max_backoff_s) * self.rng.uniform(
            0.5, 1.0
        )
        self.retry_at = asyncio.get_running_loop().time() + pause_s

    def _drop_queued_messages(self, reason: str) -> None:
        while self._queued_messages:
            self._count_dropped(self._queued_messages.popleft(), reason)

    def _count_sent(self, message: Message, frame: bytes) -> None:
        kind = type(message).__name__
        self.counters.increment("peer_messages_sent", message=kind)
        self.counters.increment("peer_bytes_sent", len(frame), message=kind)

    def _count_dropped(self, message: Message, reason: str) -> None:
        self.counters.increment(
            "peer_messages_dropped",
            message=type(message).__name__,
            reason=reason,
        )
