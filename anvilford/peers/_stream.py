"""Frames on a TCP connection.

A frame is the length of an encoded envelope, as 4 bytes big-endian, followed
by the envelope.
"""

import asyncio

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.peers._types import FrameMemory
from anvilford.peers._types import PeerLimits
from anvilford.protocol import decode
from anvilford.protocol import encode
from anvilford.protocol import Envelope
from anvilford.protocol import MalformedFrame
from anvilford.sockets import set_peer_loss_timeout

LENGTH_PREFIX_BYTES = 4
READ_BUFFER_LIMIT_BYTES = 256 * 1024
WRITE_BUFFER_LIMIT_BYTES = 256 * 1024


@attrs.frozen
class FrameTooLarge:
    """The envelope is longer than the limit for its connection."""


@attrs.frozen
class UnencodableMessage:
    """A value in the message cannot be represented in its field's type."""


@attrs.frozen
class StreamClosed:
    """The connection was closed or failed."""


ReceiveFailure = MalformedFrame | FrameTooLarge | StreamClosed


def encode_frame(
    envelope: Envelope, limits: PeerLimits
) -> Result[bytes, FrameTooLarge | UnencodableMessage]:
    """Encodes an envelope with its length prefix.

    Returns:
        The frame; `UnencodableMessage` if a value does not fit its field;
        `FrameTooLarge` if the envelope exceeds `limits.max_frame_bytes`.
    """
    try:
        body = encode(envelope)
    except (OverflowError, UnicodeEncodeError):
        return Error(UnencodableMessage())
    if len(body) > limits.max_frame_bytes:
        return Error(FrameTooLarge())
    return Ok(len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body)


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:port", where an IPv6 address may stand in brackets.

    Raises:
        ValueError: The port is missing or not an integer.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class FrameStream:
    """Sends and receives frames on one connection.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        limits: Frame size and socket timeouts.
        write_lock: Held by `send` while it waits for room in the write buffer,
            so that frames are written in the order of the calls.
        memory: Counts large frames while they are received; None counts none.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: PeerLimits,
        memory: FrameMemory | None = None,
    ):
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.write_lock = asyncio.Lock()
        self.memory = memory

    def set_socket_options(self) -> None:
        """Sets socket timeouts for a vanished peer and the buffer limit.

        The kernel ends the connection if sent data is not acknowledged within
        `limits.unacknowledged_timeout_s`.
        """
        set_peer_loss_timeout(
            self.writer.get_extra_info("socket"),
            self.limits.unacknowledged_timeout_s,
        )
        self.writer.transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT_BYTES)

    async def send(self, frame: bytes) -> bool:
        """Waits for room in the write buffer and writes a frame.

        If the calling task is cancelled while waiting, nothing is written.

        Returns:
            True if the frame was written to the buffer; False if the
            connection had ended, in which case nothing was written.
        """
        async with self.write_lock:
            try:
                await self.writer.drain()
            except OSError:
                return False
            return self._write(frame)

    def try_send(self, frame: bytes) -> bool:
        """Writes a frame if the write buffer has room now.

        Returns:
            False if the frame was not written, because the buffer is full,
            another call of `send` is waiting or the connection has ended.
        """
        transport = self.writer.transport
        if (
            self.write_lock.locked()
            or transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES
        ):
            return False
        return self._write(frame)

    def _write(self, frame: bytes) -> bool:
        if self.writer.transport.is_closing():
            return False
        self.writer.write(frame)
        return True

    async def receive(
        self, max_frame_bytes: int | None = None
    ) -> Result[Envelope, ReceiveFailure]:
        """Reads and decodes one frame.

        Args:
            max_frame_bytes: Largest envelope to accept; by default
                `limits.max_frame_bytes`.

        Returns:
            The envelope, or why none could be read.
        """
        try:
            prefix = await self.reader.readexactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(prefix, "big")
            if length > (max_frame_bytes or self.limits.max_frame_bytes):
                return Error(FrameTooLarge())
            if (
                self.memory is not None
                and length > self.limits.large_frame_bytes
            ):
                return await self._receive_large(length)
            return decode(await self.reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError):
            return Error(StreamClosed())

    async def _receive_large(
        self, length: int
    ) -> Result[Envelope, ReceiveFailure]:
        """Reads and decodes an envelope that counts as memory meanwhile.

        Raises:
            OSError: The connection failed, or the envelope took too long.
            asyncio.IncompleteReadError: The connection was closed.
        """
        if not self.memory.reserve(length):
            return Error(FrameTooLarge())
        try:
            async with asyncio.timeout(self.limits.large_frame_timeout_s):
                return decode(await self.reader.readexactly(length))
        finally:
            self.memory.release(length)

    def close(self) -> None:
        """Closes the connection once the buffered bytes are sent."""
        self.writer.close()

    def abort(self) -> None:
        """Closes the connection at once and discards buffered bytes."""
        self.writer.transport.abort()
