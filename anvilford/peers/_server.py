"""Incoming connections from other entry daemons."""

import asyncio
import contextlib
import hmac
import logging

from anvilford.model import Incarnation
from anvilford.peers._stream import encode_frame
from anvilford.peers._stream import FrameStream
from anvilford.peers._stream import FrameTooLarge
from anvilford.peers._stream import READ_BUFFER_LIMIT_BYTES
from anvilford.peers._stream import ReceiveFailure
from anvilford.peers._stream import split_address
from anvilford.peers._stream import StreamClosed
from anvilford.peers._tasks import TaskScope
from anvilford.peers._types import CounterSink
from anvilford.peers._types import FrameMemory
from anvilford.peers._types import MessageHandler
from anvilford.peers._types import PeerLimits
from anvilford.protocol import Envelope
from anvilford.protocol import Hello
from anvilford.protocol import MalformedFrame
from anvilford.protocol import Message

_logger = logging.getLogger(__name__)


class PeerServer:
    """Accepts connections from peers and passes their messages to a handler.

    An async context manager. On exit it stops reading, lets requests in
    progress finish and reply within `limits.close_timeout_s`, and then closes
    all connections.

    Attributes:
        local: This process; the server listens on `local.address`.
        token: Secret shared by all entry daemons. A connection whose `Hello`
            has another token is closed.
        handler: Called for each message. The message that it returns is sent
            as the reply if the peer expects one.
        counters: Receives counts of connections, messages and failures.
        limits: Timeouts, sizes and concurrency.
        memory: Counts large messages while they arrive, together with what
            other listeners of the process hold; None counts none.
        address: "IP:port" that the server listens on. Differs from
            `local.address` if that has port 0, which lets the system choose.
    """

    def __init__(
        self,
        local: Incarnation,
        token: str,
        handler: MessageHandler,
        counters: CounterSink,
        limits: PeerLimits,
        memory: FrameMemory | None = None,
    ):
        self.local = local
        self.token = token
        self.handler = handler
        self.counters = counters
        self.limits = limits
        self.memory = memory
        self.address = local.address
        self._streams: set[FrameStream] = set()
        self._connection_tasks = TaskScope()
        self._request_tasks = TaskScope(limits.close_timeout_s)
        self._exit_stack = contextlib.AsyncExitStack()
        self._is_closing = False

    async def __aenter__(self) -> "PeerServer":
        """Starts listening on `local.address`.

        Raises:
            OSError: The address cannot be bound.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._close_streams)
            await stack.enter_async_context(self._request_tasks)
            await stack.enter_async_context(self._connection_tasks)
            host, port = split_address(self.local.address)
            server = await asyncio.start_server(
                self._accept_connection,
                host,
                port,
                limit=READ_BUFFER_LIMIT_BYTES,
            )
            stack.callback(server.close)
            host, port = server.sockets[0].getsockname()[:2]
            self.address = f"{host}:{port}"
            self._exit_stack = stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._is_closing = True
        await self._exit_stack.aclose()

    def _close_streams(self) -> None:
        for stream in self._streams:
            stream.close()

    def _accept_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self.limits, self.memory)
        if self._is_closing:
            stream.abort()
            return
        if len(self._streams) >= self.limits.max_connections:
            self._count_rejection("too_many")
            stream.abort()
            return
        self._streams.add(stream)
        self._connection_tasks.start(self._serve_connection(stream))

    async def _serve_connection(self, stream: FrameStream) -> None:
        stream.set_socket_options()
        sender = await self._authenticate(stream)
        if sender is not None:
            self.counters.increment("peer_connections_accepted")
            failure = await self._receive_messages(stream, sender)
            self._count_connection_end(failure)
        # Not in a `finally` block: closing the server cancels this task, but
        # requests in progress still send their replies on the stream.
        stream.close()
        self._streams.discard(stream)

    async def _authenticate(self, stream: FrameStream) -> Incarnation | None:
        """Reads the first frame and checks its token.

        Returns:
            The sender, or None if the peer was rejected.
        """
        try:
            async with asyncio.timeout(self.limits.hello_timeout_s):
                received = await stream.receive(self.limits.max_hello_bytes)
        except TimeoutError:
            return self._count_rejection("hello_timeout")
        match received.default_value(None):
            case Envelope(message=Hello(token, sender)):
                # A comparison in constant time does not reveal how many
                # leading bytes of a guessed token are right.
                if hmac.compare_digest(token.encode(), self.token.encode()):
                    return sender
                return self._count_rejection("token")
            case _:
                return self._count_rejection("no_hello")

    def _count_rejection(self, reason: str) -> None:
        self.counters.increment("peer_connections_rejected", reason=reason)

    async def _receive_messages(
        self, stream: FrameStream, sender: Incarnation
    ) -> ReceiveFailure:
        """Starts a handler task for each message until the connection ends.

        Returns:
            Why the connection ended.
        """
        free_slots = asyncio.Semaphore(self.limits.max_concurrent_messages)
        while True:
            await free_slots.acquire()
            received = await stream.receive()
            if received.is_error():
                return received.error
            self._request_tasks.start(
                self._handle_message(stream, sender, received.ok, free_slots)
            )

    async def _handle_message(
        self,
        stream: FrameStream,
        sender: Incarnation,
        envelope: Envelope,
        free_slots: asyncio.Semaphore,
    ) -> None:
        kind = type(envelope.message).__name__
        self.counters.increment("peer_messages_received", message=kind)
        try:
            reply = await self.handler(sender, envelope.message)
            if reply is not None and envelope.request_id:
                await self._send_reply(stream, envelope.request_id, reply)
        except Exception:
            # The peer receives no reply, so its call ends with `PeerTimeout`.
            self.counters.increment("peer_handler_failures", message=kind)
            _logger.exception(
                "handler of a peer message raised an exception",
                extra={"kind": kind},
            )
        finally:
            # Released only after the reply is written. A peer that does not
            # read its replies therefore cannot make them accumulate here.
            free_slots.release()

    async def _send_reply(
        self, stream: FrameStream, request_id: int, reply: Message
    ) -> None:
        encoded = encode_frame(Envelope(request_id, True, reply), self.limits)
        kind = type(reply).__name__
        if encoded.is_error():
            reason = "unsendable"
        elif not await stream.send(encoded.ok):
            reason = "connection_lost"
        else:
            self.counters.increment("peer_messages_sent", message=kind)
            self.counters.increment(
                "peer_bytes_sent", len(encoded.ok), message=kind
            )
            return
        self.counters.increment(
            "peer_replies_dropped", message=kind, reason=reason
        )

    def _count_connection_end(self, failure: ReceiveFailure) -> None:
        match failure:
            case StreamClosed():
                self.counters.increment("peer_connections_ended")
            case FrameTooLarge():
                self.counters.increment("peer_frames_bad", fault="too_large")
            case MalformedFrame(fault):
                self.counters.increment("peer_frames_bad", fault=fault.value)
