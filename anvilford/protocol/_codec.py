"""Encodes messages as thrift structs in the compact protocol."""

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

# Bounds the objects made from one frame: 8 MiB hold 500,000 minimal elements.
# Two years' growth needs 7,100 targets, the entries, and the VMs replaced
# within the time for which membership keeps them (1,300 a day).
MAX_ELEMENTS = 65_536


class AccelerationMissingError(Exception):
    """Thrift was installed without its C extension."""


class FrameFault(enum.StrEnum):
    """What is wrong with a frame."""

    ENCODING = "encoding"
    MISSING_FIELD = "missing_field"
    UNKNOWN_VALUE = "unknown_value"
    NOT_ONE_MESSAGE = "not_one_message"
    TRAILING_BYTES = "trailing_bytes"


@attrs.frozen
class MalformedFrame:
    """The bytes of a frame are not an envelope."""

    fault: FrameFault


@attrs.frozen
class Envelope:
    """One message with what is needed to match replies to requests.

    Attributes:
        request_id: Unique per connection; 0 for one-way messages.
        is_reply: True for the answer to the request with this id.
        message: The message.
    """

    request_id: int
    is_reply: bool
    message: Message


class _NotOneMessageError(Exception):
    pass


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
    """Checks that thrift's C extension is installed.

    Raises:
        AccelerationMissingError: It is missing.
    """
    if fastbinary is None:
        raise AccelerationMissingError


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope; the length of the frame is not included.

    Raises:
        OverflowError: An integer exceeds 64 bits, or 32 bits for `hops`, or a
            list exceeds `MAX_ELEMENTS`.
        UnicodeEncodeError: A string holds a lone surrogate.
    """
    struct = ttypes.Envelope(
        request_id=envelope.request_id,
        is_reply=envelope.is_reply,
        **{_ENVELOPE_FIELD_NAMES[type(envelope.message)]: envelope.message},
    )
    frame = fastbinary.encode_compact(struct, _ENVELOPE_SPEC)
    # An element takes at least one byte, so most frames need no check.
    if len(frame) > MAX_ELEMENTS and any(
        len(value) > MAX_ELEMENTS
        for value in attrs.astuple(envelope.message, recurse=False)
        if isinstance(value, (tuple, dict))
    ):
        raise OverflowError
    return frame


def decode(frame: bytes) -> Result[Envelope, MalformedFrame]:
    """Decodes what `encode` made, or reports why that is impossible.

    Fields that this version doesn't know are skipped. Invalid UTF-8 in a
    string is read as U+FFFD.

    Args:
        frame: Bytes from an untrusted peer. Memory use is bounded by a small
            multiple of their number and by `MAX_ELEMENTS` per list.
    """
    buffer = TMemoryBuffer(frame)
    protocol = TCompactProtocolAccelerated(
        buffer,
        # Zero would mean no limit.
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
    # The extension reports syntax errors under all of these types.
    except (EOFError, OverflowError, TypeError, ValueError, TException):
        return _malformed_frame(FrameFault.ENCODING)
    if buffer.cstringio_buf.tell() != len(frame):
        return _malformed_frame(FrameFault.TRAILING_BYTES)
    return Ok(envelope)


def _malformed_frame(fault: FrameFault) -> Result[Envelope, MalformedFrame]:
    return Error(MalformedFrame(fault))
