"""Encoder and decoder of envelopes in Thrift's compact protocol."""

import enum
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result
from thrift.protocol.TBase import TFrozenBase
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from anvilford.protocol._messages import Message
from anvilford.protocol._specs import envelope_field_names
from anvilford.protocol._specs import field_specs
from anvilford.protocol._specs import MissingFieldError
from anvilford.protocol._specs import UnknownValueError
from anvilford.protocol.wire import ttypes

try:
    from thrift.protocol import fastbinary
except ImportError:
    fastbinary = None

# Most elements in one list or map. It bounds the objects created from one
# frame: without it, a frame of 8 MiB could hold 500,000 minimal elements. The
# longest list, the VMs in `Gossip`, holds 7,100 targets after two years of
# growth, the entries, and the VMs that were replaced (1,300 a day) within the
# time for which membership keeps them.
MAX_ELEMENTS = 65_536


class AccelerationMissingError(Exception):
    """Thrift was installed without its C extension `fastbinary`."""


class FrameFault(enum.StrEnum):
    """Why a frame cannot be decoded.

    Attributes:
        ENCODING: The bytes are not a struct in the compact protocol, or
            exceed a limit of the decoder.
        MISSING_FIELD: A required field is absent or has another wire type.
        UNKNOWN_VALUE: An enum value is not defined, or a float is not finite.
        NOT_ONE_MESSAGE: The envelope holds no message, or more than one.
        TRAILING_BYTES: Bytes follow the envelope.
    """

    ENCODING = "encoding"
    MISSING_FIELD = "missing_field"
    UNKNOWN_VALUE = "unknown_value"
    NOT_ONE_MESSAGE = "not_one_message"
    TRAILING_BYTES = "trailing_bytes"


@attrs.frozen
class MalformedFrame:
    """The bytes of a frame cannot be decoded to an envelope.

    Attributes:
        fault: What is wrong with them.
    """

    fault: FrameFault


@attrs.frozen
class Envelope:
    """One message and the id that matches a reply to its request.

    Attributes:
        request_id: Id chosen by the sender of the request, unique per
            connection; 0 for one-way messages.
        is_reply: True if the message answers the request with this id.
        message: The message.
    """

    request_id: int
    is_reply: bool
    message: Message


class _NotOneMessageError(Exception):
    """An envelope in a frame holds no message, or more than one."""


def _build_envelope(
    _: type,
    request_id: int | None = None,
    is_reply: bool | None = None,
    **messages: Any,
) -> Envelope:
    if request_id is None or is_reply is None:
        raise MissingFieldError
    if len(messages) != 1:
        raise _NotOneMessageError
    (message,) = messages.values()
    return Envelope(request_id, is_reply, message)


_ENVELOPE_FIELD_NAMES = envelope_field_names()
_ENVELOPE_SPEC = [
    type("Envelope", (TFrozenBase,), {"__new__": _build_envelope}),
    field_specs(ttypes.Envelope),
]


def require_acceleration() -> None:
    """Checks that Thrift's C extension is installed.

    Raises:
        AccelerationMissingError: The extension cannot be imported.
    """
    if fastbinary is None:
        raise AccelerationMissingError(
            "cannot import thrift.protocol.fastbinary; install thrift with "
            "its C extension"
        )


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope, without the length prefix of a frame.

    Raises:
        OverflowError: An integer exceeds 64 bits (32 bits for `hops`), or a
            list or map has more than `MAX_ELEMENTS` elements.
        UnicodeEncodeError: A string contains a lone surrogate.
    """
    struct = ttypes.Envelope(
        request_id=envelope.request_id,
        is_reply=envelope.is_reply,
        **{_ENVELOPE_FIELD_NAMES[type(envelope.message)]: envelope.message},
    )
    frame = fastbinary.encode_compact(struct, _ENVELOPE_SPEC)
    # Each element takes at least one byte, so a shorter frame cannot exceed
    # the limit and needs no check.
    if len(frame) > MAX_ELEMENTS and any(
        len(value) > MAX_ELEMENTS
        for value in attrs.astuple(envelope.message, recurse=False)
        if isinstance(value, (tuple, dict))
    ):
        raise OverflowError(
            f"{type(envelope.message).__name__} has a list or map of more than "
            f"{MAX_ELEMENTS} elements"
        )
    return frame


def decode(frame: bytes) -> Result[Envelope, MalformedFrame]:
    """Decodes an envelope encoded by `encode`.

    Unknown fields are skipped, so that messages of newer versions can be
    decoded. Invalid UTF-8 in a string is replaced by U+FFFD.

    Args:
        frame: Bytes from an untrusted peer. Memory use is bounded by a small
            multiple of their number and by `MAX_ELEMENTS` per list or map.

    Returns:
        The envelope, or why the bytes cannot be decoded.
    """
    buffer = TMemoryBuffer(frame)
    protocol = TCompactProtocolAccelerated(
        buffer,
        # Thrift takes a limit of 0 as no limit.
        string_length_limit=max(1, len(frame)),
        container_length_limit=max(1, min(len(frame), MAX_ELEMENTS)),
        fallback=False,
    )
    try:
        envelope = fastbinary.decode_compact(None, protocol, _ENVELOPE_SPEC)
    except MissingFieldError:
        return _malformed_frame(FrameFault.MISSING_FIELD)
    except UnknownValueError:
        return _malformed_frame(FrameFault.UNKNOWN_VALUE)
    except _NotOneMessageError:
        return _malformed_frame(FrameFault.NOT_ONE_MESSAGE)
    # The C extension raises any of these types for invalid bytes.
    except (EOFError, OverflowError, TypeError, ValueError, TException):
        return _malformed_frame(FrameFault.ENCODING)
    if buffer.cstringio_buf.tell() != len(frame):
        return _malformed_frame(FrameFault.TRAILING_BYTES)
    return Ok(envelope)


def _malformed_frame(fault: FrameFault) -> Result[Envelope, MalformedFrame]:
    return Error(MalformedFrame(fault))
