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

from anvilford.peers._stream import FrameStream
from anvilford.peers._stream import pack
from anvilford.peers._stream import READ_BUFFER_BYTES
from anvilford.peers._stream import split_address
from anvilford.peers._tasks import TaskScope
from anvilford.peers._types import EventCounters
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
class Request:
    """A request that waits for its reply.

    Attributes:
        request_id: Echoed by the reply.
        reply: Set once, to the reply or the failure.
        sent: True from the first byte written.
    """

    request_id: int
    reply: asyncio.Future
    sent: bool = False


class Link:
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
        counters: EventCounters,
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
        self.failures = 0
        self.retry_at = 0.0
        self._stream: FrameStream | None = None
        self._attempt: asyncio.Future[FrameStream | None] | None = None
        self._pending: dict[int, Request] = {}
        self._ids = itertools.count(1)
        self._queue: collections.deque[Message] = collections.deque()
        self._queued = asyncio.Event()
        self._running: set[asyncio.Task] = set()
        self._closed = False
        self._reachable = True

    async def call(
        self, message: Message, timeout: float
    ) -> Result[Message, PeerFailure]:
        """Sends a request and waits for the reply."""
        if timeout <= 0:
            return Error(PeerRefused(RefusedReason.TIMEOUT))
        loop = asyncio.get_running_loop()
        request = Request(next(self._ids), loop.create_future())
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(request, message)
        except TimeoutError:
            if request.sent:
                return Error(PeerTimeout())
            return Error(PeerRefused(RefusedReason.TIMEOUT))
        finally:
            self._pending.pop(request.request_id, None)

    async def _exchange(
        self, request: Request, message: Message
    ) -> Result[Message, PeerFailure]:
        packed = pack(Envelope(request.request_id, False, message), self.limits)
        if packed.is_error():
            return Error(PeerRefused(RefusedReason.UNSENDABLE))
        stream = self._stream
        if stream is None:
            if self._closed:
                return Error(PeerRefused(RefusedReason.CLOSED))
            if asyncio.get_running_loop().time() < self.retry_at:
                return Error(PeerRefused(RefusedReason.BACKOFF))
            stream = await asyncio.shield(self._connecting())
            if stream is None:
                return Error(PeerRefused(RefusedReason.CONNECT))
        self._pending[request.request_id] = request
        if not await stream.send(packed.ok):
            return Error(PeerRefused(RefusedReason.CLOSED))
        request.sent = True
        self._count_sent(message, packed.ok)
        return await request.reply

    def send(self, message: Message) -> None:
        """Sends a one-way message, best effort."""
        if self._closed:
            self._count_dropped(message, "closed")
            return
        if self._stream is not None and not self._queue:
            packed = pack(Envelope(0, False, message), self.limits)
            if packed.is_error():
                self._count_dropped(message, "unsendable")
                return
            if self._stream.try_send(packed.ok):
                self._count_sent(message, packed.ok)
                return
        if len(self._queue) >= self.limits.queue_messages:
            self._count_dropped(self._queue.popleft(), "queue_full")
        self._queue.append(message)
        self._queued.set()
        if self._stream is None:
            self._connecting()

    def close(self) -> None:
        """Closes the connection; calls that were sent end as lost."""
        self._closed = True
        for task in self._running:
            task.cancel()
        if self._attempt is not None:
            self._attempt.set_result(None)
        if self._stream is not None:
            self._lose(self._stream)
        self._drop_queue("closed")

    def _connecting(self) -> asyncio.Future[FrameStream | None]:
        """The attempt in progress, or a new one."""
        if self._attempt is None:
            self._attempt = asyncio.get_running_loop().create_future()
            self._start(self._connect(self._attempt))
        return self._attempt

    def _start(self, coroutine) -> None:
        task = self.tasks.start(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _connect(self, attempt: asyncio.Future) -> None:
        """Makes one attempt after the pause and sets its result."""
        stream = None
        try:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(self.retry_at - loop.time())
            stream = await self._open()
        finally:
            # Waiting calls get a result also if this task is cancelled.
            self._attempt = None
            self._stream = stream
            if not attempt.done():
                attempt.set_result(stream)
        if stream is None:
            self._note_failure()
            self._drop_queue("unreachable")
        else:
            self._start(self._receive_all(stream, loop.time()))
            self._start(self._flush(stream))

    async def _open(self) -> FrameStream | None:
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(self.limits.connect_timeout):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=READ_BUFFER_BYTES
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
        stream.configure()
        hello = pack(Envelope(0, False, self.hello), self.limits)
        stream.try_send(hello.ok)
        return stream

    async def _receive_all(self, stream: FrameStream, opened: float) -> None:
        """Passes replies to their requests until the connection ends."""
        while (received := await stream.receive()).is_ok():
            envelope = received.ok
            request = self._pending.pop(envelope.request_id, None)
            if not envelope.is_reply or request is None:
                self.counters.increment("peer_replies_unmatched")
            elif not request.reply.done():
                request.reply.set_result(Ok(envelope.message))
        lasted = asyncio.get_running_loop().time() - opened
        if lasted >= self.limits.backoff_max:
            self.failures = 0
        self._note_failure()
        self.counters.increment(
            "peer_connections_lost", reason=type(received.error).__name__
        )
        self._lose(stream)

    def _lose(self, stream: FrameStream) -> None:
        stream.close()
        if self._stream is stream:
            self._stream = None
        self._queued.set()  # Ends `_flush`.
        for request in self._pending.values():
            if not request.reply.done():
                request.reply.set_result(Error(PeerLost()))
        if self._queue and not self._closed:
            self._connecting()

    async def _flush(self, stream: FrameStream) -> None:
        """Writes queued messages until the connection ends."""
        while self._stream is stream:
            if not self._queue:
                self._queued.clear()
                await self._queued.wait()
                continue
            message = self._queue.popleft()
            packed = pack(Envelope(0, False, message), self.limits)
            if packed.is_error():
                self._count_dropped(message, "unsendable")
            elif await stream.send(packed.ok):
                self._count_sent(message, packed.ok)
            else:
                self._count_dropped(message, "connection_lost")

    def _note_failure(self) -> None:
        self.failures += 1
        limits = self.limits
        # The exponent is bounded because 2.0**1024 overflows.
        pause = limits.backoff_min * 2.0 ** min(self.failures - 1, 32)
        # Jitter keeps peers from all coming back at the same moment.
        pause = min(pause, limits.backoff_max) * self.rng.uniform(0.5, 1.0)
        self.retry_at = asyncio.get_running_loop().time() + pause

    def _drop_queue(self, reason: str) -> None:
        while self._queue:
            self._count_dropped(self._queue.popleft(), reason)

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
