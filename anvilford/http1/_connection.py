"""A connection of the HTTP server."""

import asyncio
import collections
import contextlib
import logging
import time
import typing

import attrs

from anvilford.http1._holding import Holding
from anvilford.http1._holding import ORDINARY_BYTES
from anvilford.http1._holding import Phase
from anvilford.http1._message_parser import MessageParser
from anvilford.http1._messages import encode_response
from anvilford.http1._messages import Request
from anvilford.http1._messages import Response
from anvilford.sockets import set_peer_loss_timeout

if typing.TYPE_CHECKING:
    from anvilford.http1._server import HttpListener

_logger = logging.getLogger(__name__)

# Time after a pause in which the loop reads what arrived during it. It polls its
# sockets at least once before a timer ends.
READ_AGAIN_S = 0.02
# Received bytes that are parsed at once. Chunks of one byte make 1,400 calls of
# `on_body` of them, which take 0.3 ms. An ordinary request fits.
SLICE_BYTES = 8192
# The same while incomplete requests have used up their processor time.
SMALL_SLICE_BYTES = 2048
# Tells a refused client, in seconds, when it may try again.
REFUSAL_HEADERS = (("Retry-After", "1"),)


@attrs.define(eq=False)
class _Arrival:
    """A complete request that is to be answered.

    Attributes:
        request: The request.
        cost_bytes: Memory that it occupies.
        is_last: Whether the client ends the connection after it.
    """

    request: Request
    cost_bytes: int
    is_last: bool


class ServerConnection(asyncio.Protocol):
    """A connection whose requests are read ahead and answered in order.

    Attributes:
        listener: The listener that accepted the connection.
        transport: Transport of the connection; None until it is open.
        holding: Memory, phase and progress, which the listener and the budget
            go by.
        arrivals: Complete requests that wait for earlier ones.
        current: The request that is being handled, if any.
        serve_task: Task that handles arrivals; None while there are none.
        is_closing: True once the connection was closed or lost.
        refusal: HTTP status of the last answer once the connection is refused,
            else 0.
        reading_paused: True while too many requests wait, or received data
            waits to be parsed.
        unread_since: Time at which reading was paused, until what arrived
            meanwhile is read; else None.
        pending: Data that is received and not yet parsed.
        has_turn: Whether the connection is queued for a turn.
        readable: Completed when the client has read answers; set while it has
            not.
        parser: Parser of the requests; None until the connection is open.
        is_lost: True once the connection has ended.
    """

    def __init__(self, listener: "HttpListener"):
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.holding = Holding(self.refuse)
        self.arrivals: collections.deque[_Arrival] = collections.deque()
        self.current: _Arrival | None = None
        self.serve_task: asyncio.Task | None = None
        self.is_closing = False
        self.refusal = 0
        self.reading_paused = False
        self.unread_since: float | None = None
        self.pending = b""
        self.has_turn = False
        self.readable: asyncio.Future | None = None
        self.parser: MessageParser | None = None
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        limits = self.listener.limits
        self.parser = MessageParser(
            self.listener.sizes, limits.max_url_bytes, self._receive_request
        )
        set_peer_loss_timeout(
            transport.get_extra_info("socket"), limits.peer_loss_timeout_s
        )
        transport.set_write_buffer_limits(limits.max_unread_answer_bytes)
        self.listener.admit(self)

    def data_received(self, data: bytes) -> None:
        if self.is_closing or self.refusal:
            return
        arrived_at = self.listener.arrival_clock()
        if self.unread_since is not None:
            arrived_at = min(arrived_at, self.unread_since)
            self.unread_since = None
        self.parser.data_arrived_at = arrived_at
        self.pending = self.pending + data if self.pending else data
        if not self.has_turn:
            self._parse_at_once()
        self._after_parsing()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self.readable = asyncio.get_running_loop().create_future()
        self._update()

    def resume_writing(self) -> None:
        if self.readable is not None and not self.readable.done():
            self.readable.set_result(None)
        self.readable = None
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closing = True
        if self.readable is not None and not self.readable.done():
            self.readable.set_result(None)
        was_reset = exc is not None
        for arrival in (self.current, *self.arrivals):
            if arrival and not arrival.request.disconnected.done():
                arrival.request.disconnected.set_result(was_reset)
        self._end()

    def _end(self) -> None:
        """Frees everything but the request that is still being handled."""
        self.arrivals.clear()
        self.pending = b""
        self.parser.close()
        self.listener.forget(self)
        self.is_lost = True
        memory = self.listener.shared.memory
        if self.current is None:
            memory.remove(self.holding)
        else:
            memory.change(self.holding, self.current.cost_bytes)

    # Parsing.

    def _parse_at_once(self) -> None:
        """Parses what fits into an ordinary request, and is not costly."""
        turns = self.listener.shared.turns
        size = SMALL_SLICE_BYTES if turns.is_exhausted() else SLICE_BYTES
        while self._may_parse() and self._is_fresh():
            self._parse_slice(size)
            if turns.is_exhausted():
                break

    def take_turn(self) -> None:
        """Parses one slice of the data that was received."""
        self.has_turn = False
        if self._may_parse():
            self._parse_slice(SLICE_BYTES)
        self._after_parsing()

    def _may_parse(self) -> bool:
        return bool(
            self.pending
            and not self.is_closing
            and not self.refusal
            and not self._has_full_queue()
        )

    def _has_full_queue(self) -> bool:
        return len(self.arrivals) >= self.listener.limits.max_pipelined_requests

    def _is_fresh(self) -> bool:
        return self.parser.received_bytes < ORDINARY_BYTES

    def _parse_slice(self, size: int) -> None:
        data, self.pending = self.pending[:size], self.pending[size:]
        started_at = time.monotonic()
        self.parser.feed(data)
        self.listener.shared.turns.charge(time.monotonic() - started_at)
        if self.parser.error is not None:
            status, reason = self.parser.error
            self.refuse(reason, status)

    def _receive_request(self) -> None:
        """Queues the request that the parser has completed."""
        parser = self.parser
        request = Request(
            parser.method,
            parser.url.decode("latin-1"),
            parser.headers,
            bytes(parser.body),
            asyncio.get_running_loop().create_future(),
            parser.arrived_at,
        )
        self.arrivals.append(
            _Arrival(request, parser.cost_bytes(), not parser.keeps_alive)
        )

    def _after_parsing(self) -> None:
        """Continues to read or parse, or pauses, as the state requires."""
        if self.is_closing or self.refusal:
            return
        if self.arrivals and self.serve_task is None:
            self.serve_task = self.listener.start_task(self._serve())
        if self._has_full_queue():
            self._pause_reading()
        elif self.pending:
            self._pause_reading()
            if not self.has_turn:
                self.has_turn = True
                self.listener.shared.turns.add(self, self._is_fresh())
        elif self.reading_paused:
            self._resume_reading()
        self._update()
        self.listener.shared.memory.relieve(time.monotonic())

    def _pause_reading(self) -> None:
        if not self.reading_paused:
            self.reading_paused = True
            # What was there is read, so that more arrives from now on.
            self.unread_since = self.listener.arrival_clock()
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        self.reading_paused = False
        self.transport.resume_reading()
        asyncio.get_running_loop().call_later(
            READ_AGAIN_S, self._end_pause, self.unread_since
        )

    def _end_pause(self, unread_since: float | None) -> None:
        """Lets data count as new if none had arrived during a pause."""
        if not self.reading_paused and self.unread_since == unread_since:
            self.unread_since = None

    # Memory and phase.

    def _find_phase(self) -> Phase:
        if self.current is not None and not self.is_closing:
            return Phase.SERVED
        if self.refusal or self.is_closing:
            return Phase.REFUSED
        if self.readable is not None:
            return Phase.UNREAD
        if self.arrivals:
            return Phase.SERVED
        if self.parser.in_message or self.pending:
            return Phase.INCOMPLETE
        if self.holding.phase in (Phase.NEW, Phase.INCOMPLETE):
            return Phase.NEW
        return Phase.IDLE

    def _update(self) -> None:
        """Brings the holding up to date."""
        if self.is_lost:
            return
        parser = self.parser
        held = len(self.pending) + self.transport.get_write_buffer_size()
        if parser.in_message:
            held += parser.cost_bytes()
        for arrival in self.arrivals:
            held += arrival.cost_bytes
        holding = self.holding
        holding.served_bytes = self.current.cost_bytes if self.current else 0
        held += holding.served_bytes
        self.listener.shared.memory.change(holding, held)
        has_progress = len(parser.body) > holding.body_bytes
        holding.received_bytes = parser.received_bytes
        holding.body_bytes = len(parser.body)
        phase = self._find_phase()
        if phase is not holding.phase or has_progress:
            self.listener.note_progress(self, phase)

    # Serving.

    async def _serve(self) -> None:
        while self.arrivals and not self.is_closing:
            if self.readable is not None:
                await self.readable
                continue
            self.current = arrival = self.arrivals.popleft()
            self._update()
            response = await self._handle(arrival.request)
            self.current = None
            if self.is_lost:
                self.listener.shared.memory.remove(self.holding)
                break
            is_last = arrival.is_last or self.listener.is_closing
            self._write(response, is_last and not self.refusal)
            if self.refusal:
                self._write_refusal()
            if not self.is_closing and (self.arrivals or self.pending):
                self._after_parsing()
                # Answers of pipelined requests may need no wait at all, and
                # other events are to be handled between them.
                await asyncio.sleep(0)
            elif self.reading_paused and not self.is_closing:
                self._after_parsing()
        self.serve_task = None
        self._update()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.listener.handler(request)
        except Exception:
            _logger.exception(
                "request handler failed", extra={"path": request.target}
            )
            return Response(500)

    def _write(self, response: Response, is_last: bool) -> None:
        if self.is_closing:
            return
        self.transport.write(encode_response(response, is_last))
        if is_last:
            self.close()

    # Ends of the connection.

    def refuse(self, reason: str, status: int = 503) -> None:
        """Refuses what has not begun to be served, and ends the connection.

        The request that is being handled is still answered. Nothing that is
        refused has run.

        Args:
            reason: Reason, for the counter and the log.
            status: HTTP status of the refusal.
        """
        if self.is_closing or self.refusal:
            return
        self.listener.shared.refusals.record(reason)
        is_silent = (
            self.holding.phase in (Phase.NEW, Phase.IDLE) and status == 503
        )
        self.refusal = status
        self.arrivals.clear()
        self.pending = b""
        self.parser.reset()
        if self.reading_paused:
            # What arrives is read and dropped. A client that still sends then
            # gets to the answer, and one that is gone is noticed.
            self.reading_paused = False
            self.transport.resume_reading()
        if self.current is None:
            if is_silent:
                self.close()
            elif self.readable is not None:
                self.abort()
            else:
                self._write_refusal()
        self._update()

    def _write_refusal(self) -> None:
        """Writes the last answer, and lets the client read it for a while.

        Closing the connection while received data is unread would make the
        kernel reset it, and the client lose the answer.
        """
        if self.is_closing:
            return
        headers = REFUSAL_HEADERS if self.refusal == 503 else ()
        response = Response(self.refusal, headers=headers)
        self.transport.write(encode_response(response, True))
        with contextlib.suppress(OSError, RuntimeError):
            self.transport.write_eof()
        self._update()

    def close(self) -> None:
        """Closes the connection when the client has read all answers."""
        self.is_closing = True
        self.transport.close()
        self._update()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.is_closing = True
        self.transport.abort()

    def has_unread(self) -> bool:
        """Returns whether answers wait in the process for the client."""
        return self.transport.get_write_buffer_size() > 0

    def is_idle(self) -> bool:
        """Returns whether no request is received or handled."""
        return (
            self.current is None and not self.arrivals and not self.parser.body
        )
