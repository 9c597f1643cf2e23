"""One outgoing connection to a peer."""

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
        request_id: Echoed by the reply.
        reply: Set once, to the reply or the failure.
        sent: True from the first byte written.
    """

    request_id: int
    reply: asyncio.Future
    sent: bool = False


class PeerLink:
    """Opens the connection to one peer when needed and closes it on loss.

    After a failed attempt or a lost connection the next attempt waits. Calls
    in that pause are refused at once, because a caller's thread waits for
    each; one-way messages wait for the attempt and are dropped if it fails.

    Attributes:
        address: "IP:port" of the peer.
        hello: First message on each connection.
        counters: Receives counts.
        rng: Source of the jitter.
        limits: Bounds.
        tasks: Owner of the background tasks.
        failures: Consecutive failures.
        retry_at: Loop time before which no attempt is made.
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
        """Sends a request and waits for the reply."""
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
        """Sends a one-way message, best effort."""
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
        """Closes the connection; calls that were sent end as lost."""
        self._closed = True
        for task in self._running_tasks:
            task.cancel()
        if self._connect_attempt is not None:
            self._connect_attempt.set_result(None)
        if self._stream is not None:
            self._close_stream(self._stream)
        self._drop_queued_messages("closed")

    def _ensure_connecting(self) -> asyncio.Future[FrameStream | None]:
        """The attempt in progress, or a new one."""
        if self._connect_attempt is None:
            self._connect_attempt = asyncio.get_running_loop().create_future()
            self._start_task(self._connect(self._connect_attempt))
        return self._connect_attempt

    def _start_task(self, coroutine) -> None:
        task = self.tasks.start(coroutine)
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)

    async def _connect(self, attempt: asyncio.Future) -> None:
        """Makes one attempt after the pause and sets its result."""
        stream = None
        try:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(self.retry_at - loop.time())
            stream = await self._open_stream()
        finally:
            # Waiting calls get a result also if this task is cancelled.
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
        """Passes replies to their requests until the connection ends."""
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
        self._queue_changed.set()  # Ends `_flush`.
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
        # The exponent is bounded because 2.0**1024 overflows.
        pause_s = limits.min_backoff_s * 2.0 ** min(
            self.consecutive_failures - 1, 32
        )
        # Jitter keeps peers from all coming back at the same moment.
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
