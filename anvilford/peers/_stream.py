"""Frames on a TCP connection: a 4-byte big-endian length and an envelope."""

import asyncio
import contextlib
import socket

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.peers._types import PeerLimits
from anvilford.protocol import decode
from anvilford.protocol import encode
from anvilford.protocol import Envelope
from anvilford.protocol import MalformedFrame

LENGTH_PREFIX_BYTES = 4
READ_BUFFER_LIMIT_BYTES = 256 * 1024
WRITE_BUFFER_LIMIT_BYTES = 256 * 1024


@attrs.frozen
class FrameTooLarge:
    """The frame exceeds the limit."""


@attrs.frozen
class UnencodableMessage:
    """A value of the message does not fit its field."""


@attrs.frozen
class StreamClosed:
    """The connection has ended."""


ReceiveFailure = MalformedFrame | FrameTooLarge | StreamClosed


def encode_frame(
    envelope: Envelope, limits: PeerLimits
) -> Result[bytes, FrameTooLarge | UnencodableMessage]:
    """Makes a frame with its length."""
    try:
        body = encode(envelope)
    except (OverflowError, UnicodeEncodeError):
        return Error(UnencodableMessage())
    if len(body) > limits.max_frame_bytes:
        return Error(FrameTooLarge())
    return Ok(len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body)


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:port".

    Raises:
        ValueError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class FrameStream:
    """Sends and receives frames on one connection.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        limits: Bounds.
        lock: Held while waiting for room in the write buffer.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: PeerLimits,
    ):
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.write_lock = asyncio.Lock()

    def set_socket_options(self) -> None:
        """Makes the kernel notice a peer that vanished."""
        seconds = self.limits.unacknowledged_timeout_s
        sock = self.writer.get_extra_info("socket")
        probe_interval = max(1, int(seconds / 3))
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000)),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_interval),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_interval),
        ):
            # The next read reports a connection that has ended already.
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)
        self.writer.transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT_BYTES)

    async def send(self, frame: bytes) -> bool:
        """Writes a frame once the write buffer has room.

        If the caller is cancelled, nothing was written.

        Returns:
            False if the connection had ended and nothing was written.
        """
        async with self.write_lock:
            try:
                await self.writer.drain()
            except OSError:
                return False
            return self._write(frame)

    def try_send(self, frame: bytes) -> bool:
        """Writes a frame if that needs no waiting."""
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
        """Reads one frame.

        Args:
            max_frame_bytes: Largest length to accept instead of the usual one.
        """
        try:
            prefix = await self.reader.readexactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(prefix, "big")
            if length > (max_frame_bytes or self.limits.max_frame_bytes):
                return Error(FrameTooLarge())
            return decode(await self.reader.readexactly(length))
        except (asyncio.IncompleteReadError, OSError):
            return Error(StreamClosed())

    def close(self) -> None:
        """Closes the connection after sending what is buffered."""
        self.writer.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()
