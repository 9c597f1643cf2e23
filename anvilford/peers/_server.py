"""Incoming connections from other entry daemons."""

import asyncio
import contextlib
import hmac
import logging

from anvilford.model import Incarnation
from anvilford.peers._stream import FrameStream
from anvilford.peers._stream import FrameTooLarge
from anvilford.peers._stream import pack
from anvilford.peers._stream import READ_BUFFER_BYTES
from anvilford.peers._stream import ReceiveFailure
from anvilford.peers._stream import split_address
from anvilford.peers._stream import StreamClosed
from anvilford.peers._tasks import TaskScope
from anvilford.peers._types import EventCounters
from anvilford.peers._types import Handler
from anvilford.peers._types import PeerLimits
from anvilford.protocol import Envelope
from anvilford.protocol import Hello
from anvilford.protocol import MalformedFrame
from anvilford.protocol import Message

_logger = logging.getLogger(__name__)


class PeerServer:
    """Accepts connections from peers and hands their messages on.

    An async context manager. On exit it stops reading, lets requests in
    progress finish and reply within `limits.close_timeout`, and then closes
    all connections.

    Attributes:
        local: This process; it listens on `local.address`.
        token: Shared secret that a `Hello` must hold.
        handler: Called for each message; a message that it returns is sent as
            the reply if the peer asked for one.
        counters: Receives counts.
        limits: Bounds.
        address: "IP:port" in use; tells the port if that of `local` is 0.
    """

    def __init__(
        self,
        local: Incarnation,
        token: str,
        handler: Handler,
        counters: EventCounters,
        limits: PeerLimits,
    ):
        self.local = local
        self.token = token
        self.handler = handler
        self.counters = counters
        self.limits = limits
        self.address = local.address
        self._streams: set[FrameStream] = set()
        self._connections = TaskScope()
        self._requests = TaskScope(limits.close_timeout)
        self._stack = contextlib.AsyncExitStack()
        self._closing = False

    async def __aenter__(self) -> "PeerServer":
        """Starts to listen.

        Raises:
            OSError: The address is not available.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._close_streams)
            await stack.enter_async_context(self._requests)
            await stack.enter_async_context(self._connections)
            host, port = split_address(self.local.address)
            server = await asyncio.start_server(
                self._accept, host, port, limit=READ_BUFFER_BYTES
            )
            stack.callback(server.close)
            host, port = server.sockets[0].getsockname()[:2]
            self.address = f"{host}:{port}"
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._closing = True
        await self._stack.aclose()

    def _close_streams(self) -> None:
        for stream in self._streams:
            stream.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self.limits)
        if self._closing:
            stream.abort()
            return
        if len(self._streams) >= self.limits.connections:
            self._reject("too_many")
            stream.abort()
            return
        self._streams.add(stream)
        self._connections.start(self._serve(stream))

    async def _serve(self, stream: FrameStream) -> None:
        stream.configure()
        sender = await self._authenticate(stream)
        if sender is not None:
            self.counters.increment("peer_connections_accepted")
            failure = await self._receive_all(stream, sender)
            self._count_end(failure)
        # Not in a `finally`: when the server closes, requests in progress
        # still need the stream for their replies.
        stream.close()
        self._streams.discard(stream)

    async def _authenticate(self, stream: FrameStream) -> Incarnation | None:
        """Reads the first frame; None if it does not admit the peer."""
        try:
            async with asyncio.timeout(self.limits.hello_timeout):
                received = await stream.receive(self.limits.hello_bytes)
        except TimeoutError:
            return self._reject("hello_timeout")
        match received.default_value(None):
            case Envelope(message=Hello(token, sender)):
                # Comparing in constant time hides how much of a guess fits.
                if hmac.compare_digest(token.encode(), self.token.encode()):
                    return sender
                return self._reject("token")
            case _:
                return self._reject("no_hello")

    def _reject(self, reason: str) -> None:
        self.counters.increment("peer_connections_rejected", reason=reason)

    async def _receive_all(
        self, stream: FrameStream, sender: Incarnation
    ) -> ReceiveFailure:
        """Starts a task for each message until the connection ends."""
        free = asyncio.Semaphore(self.limits.in_progress)
        while True:
            await free.acquire()
            received = await stream.receive()
            if received.is_error():
                return received.error
            self._requests.start(
                self._handle(stream, sender, received.ok, free)
            )

    async def _handle(
        self,
        stream: FrameStream,
        sender: Incarnation,
        envelope: Envelope,
        free: asyncio.Semaphore,
    ) -> None:
        kind = type(envelope.message).__name__
        self.counters.increment("peer_messages_received", message=kind)
        try:
            reply = await self.handler(sender, envelope.message)
            if reply is not None and envelope.request_id:
                await self._reply(stream, envelope.request_id, reply)
        except Exception:
            # The peer gets no reply and reports a timeout to its caller.
            self.counters.increment("peer_handler_failures", message=kind)
            _logger.exception("handler failed", extra={"kind": kind})
        finally:
            # Only now, so that a peer that doesn't read replies can't make
            # them pile up.
            free.release()

    async def _reply(
        self, stream: FrameStream, request_id: int, reply: Message
    ) -> None:
        packed = pack(Envelope(request_id, True, reply), self.limits)
        kind = type(reply).__name__
        if packed.is_error():
            reason = "unsendable"
        elif not await stream.send(packed.ok):
            reason = "connection_lost"
        else:
            self.counters.increment("peer_messages_sent", message=kind)
            self.counters.increment(
                "peer_bytes_sent", len(packed.ok), message=kind
            )
            return
        self.counters.increment(
            "peer_replies_dropped", message=kind, reason=reason
        )

    def _count_end(self, failure: ReceiveFailure) -> None:
        match failure:
            case StreamClosed():
                self.counters.increment("peer_connections_ended")
            case FrameTooLarge():
                self.counters.increment("peer_frames_bad", fault="too_large")
            case MalformedFrame(fault):
                self.counters.increment("peer_frames_bad", fault=fault.value)
