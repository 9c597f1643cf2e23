"""Tests of encoding and decoding messages."""

import enum
import tracemalloc
import types
import typing
from unittest import mock

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from anvilford import protocol
from anvilford.leadership import Member
from anvilford.model import Incarnation
from anvilford.placement import CancelResult
from anvilford.placement import JobSpec
from anvilford.placement import LossState
from anvilford.placement import Offer
from anvilford.placement import OutcomeKind
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.protocol.wire import ttypes
from testkit import function_tests

load_tests = function_tests(__name__)

LOCAL = Incarnation("vannes-a", "10.0.0.1:7100", "a1")
MAX_MEMORY_BYTES = 16 * 1024 * 1024
STRATEGIES = {
    str: st.text(st.characters(codec="utf-8"), max_size=12),
    int: st.integers(-(2**31), 2**31 - 1),
    float: st.floats(allow_nan=False, allow_infinity=False),
    bool: st.booleans(),
    bytes: st.binary(max_size=12),
    dict[str, int]: st.dictionaries(st.text("ab"), st.integers(0, 2**62)),
}


def strategy_for(hint):
    """Returns a strategy that generates values of a type used in messages."""
    if hint in STRATEGIES:
        return STRATEGIES[hint]
    if isinstance(hint, enum.EnumType):
        return st.sampled_from(hint)
    if isinstance(hint, types.UnionType):
        present, _ = typing.get_args(hint)
        return st.none() | strategy_for(present)
    if typing.get_origin(hint) is tuple:
        return st.lists(strategy_for(typing.get_args(hint)[0]), max_size=3).map(
            tuple
        )
    hints = typing.get_type_hints(hint)
    return st.builds(
        hint,
        **{
            name: strategy_for(field_hint) for name, field_hint in hints.items()
        },
    )


envelopes = st.builds(
    protocol.Envelope,
    request_id=st.integers(0, 2**63 - 1),
    is_reply=st.booleans(),
    message=st.one_of(map(strategy_for, typing.get_args(protocol.Message))),
)
example_settings = settings(derandomize=True, max_examples=300, deadline=None)


def decode_within_memory(frame):
    """Decodes a frame and fails if that allocates `MAX_MEMORY_BYTES`."""
    tracemalloc.start()
    try:
        result = protocol.decode(frame)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < MAX_MEMORY_BYTES, peak
    assert result.is_ok() or isinstance(result.error, protocol.MalformedFrame)
    return result


def test_round_trip(case):
    """Guards against values that encoding and decoding change."""

    @example_settings
    @given(envelopes)
    def check(envelope):
        case.assertEqual(
            protocol.decode(protocol.encode(envelope)).ok, envelope
        )

    check()


def test_wire_enums_match(case):
    """Guards against enum members that differ between IDL and messages.

    Both define the enums; a value added to only one would be rejected or
    misread by the receiver.
    """
    for cls in (
        protocol.VmRole,
        protocol.VmState,
        protocol.RequestKind,
        CancelResult,
        LossState,
        OutcomeKind,
    ):
        wire = getattr(ttypes, cls.__name__)
        case.assertEqual(wire._NAMES_TO_VALUES, {m.name: m.value for m in cls})


def test_damaged_frames_return_failures():
    """Guards against frames that raise an exception or exhaust memory.

    Valid frames are damaged at random places. Decoding must return a
    `MalformedFrame` or a message, within bounded memory.
    """

    @example_settings
    @given(st.data())
    def check(data):
        frame = bytearray(protocol.encode(data.draw(envelopes)))
        for _ in range(data.draw(st.integers(1, 4))):
            start = data.draw(st.integers(0, len(frame)))
            stop = start + data.draw(st.integers(0, 3))
            frame[start:stop] = data.draw(st.binary(max_size=8))
        decode_within_memory(bytes(frame))

    check()


def test_every_truncation_is_malformed(case):
    """Guards against decoding a truncated frame as a complete message."""
    vms = [
        protocol.VmInfo(
            "v", protocol.VmRole.TARGET, "z", "a", "s", protocol.VmState.GONE
        )
    ] * 3
    gossip = protocol.Gossip("a", (), b"f", tuple(vms), full=True)
    frame = protocol.encode(protocol.Envelope(1, False, gossip))
    for length in range(len(frame)):
        case.assertTrue(protocol.decode(frame[:length]).is_error(), length)


def test_crafted_frames(case):
    """Guards against crafted frames that bypass the decoder's limits.

    Random damage hardly ever yields huge length prefixes, deep nesting or
    fields of the wrong type, so these are written out here.
    """
    fault = protocol.FrameFault
    head = b"\x16\x02\x12"  # request_id 1, is_reply false
    forward = protocol.ForwardSubmission(
        "i", "c", protocol.RequestKind.SUBMIT, b"", 1, 0
    )
    good = protocol.encode(protocol.Envelope(1, False, forward))
    gossip = head + b"\xbc"
    huge = b"\xff\xff\xff\xff\x07"
    for name, frame, expected in (
        ("no message", head + b"\0", fault.NOT_ONE_MESSAGE),
        ("no request id", b"\x22\x8c\0\0", fault.MISSING_FIELD),
        ("empty hello", head + b"\x8c\0\0", fault.MISSING_FIELD),
        ("two messages", head + b"\xdc\0\x4c\x11\0\0", fault.NOT_ONE_MESSAGE),
        ("enum", good.replace(b"\x15\x02", b"\x15\x0e"), fault.UNKNOWN_VALUE),
        ("wire type", good.replace(b"\x18\x01i", b"\x16\x02"), None),
        ("trailing", good + b"\0", fault.TRAILING_BYTES),
        ("huge list", gossip + b"\x29\xfc" + huge, fault.ENCODING),
        ("huge string", gossip + b"\x18" + huge, fault.ENCODING),
        ("huge map", head + b"\xcc\x4b" + huge + b"\x86", fault.ENCODING),
        ("huge skipped", head + b"\x59\xf0" + huge, fault.ENCODING),
        ("negative", gossip + b"\x18\xff\xff\xff\xff\x0f", fault.ENCODING),
        ("nesting", head + b"\x9c" * 1_000_000, fault.ENCODING),
        ("nested lists", head + b"\x59" + b"\x19" * 1_000_000, fault.ENCODING),
        # A list of VMs without fields: one byte of input for each.
        ("empty VMs", gossip + b"\x49\xfc\xff\xff\x01" + bytes(10**6), None),
    ):
        result = decode_within_memory(frame)
        case.assertTrue(result.is_error(), name)
        if expected is not None:
            case.assertEqual(result.error.fault, expected, name)


def test_encoder_and_decoder_share_the_list_limit(case):
    """Guards against encoding a list that every receiver rejects.

    The encoder must apply the same limit as the decoder.
    """
    for excess in (0, 1):
        count = protocol.MAX_ELEMENTS + excess
        in_use = {str(number): 1 for number in range(count)}
        report = protocol.LoadReport("a", 1, 0, in_use)
        envelope = protocol.Envelope(0, False, report)
        with mock.patch.object(protocol._codec, "MAX_ELEMENTS", count):
            frame = protocol.encode(envelope)
        case.assertEqual(protocol.decode(frame).is_error(), bool(excess))
    case.assertRaises(OverflowError, protocol.encode, envelope)


def test_unknown_fields_are_skipped(case):
    """Guards against rejecting messages of a newer version with more fields.

    Entries of two versions exchange messages during an upgrade.
    """
    hello = protocol.Hello("secret", LOCAL)
    frame = protocol.encode(protocol.Envelope(7, False, hello))
    extended = frame[:-2] + b"\x58\x02ab\0\0"
    case.assertEqual(protocol.decode(extended), protocol.decode(frame))


def test_fields_of_newer_builds_are_optional(case):
    """Guards against rejecting messages of the previous build during an upgrade.

    It names no configuration of an offer, and no cancelled jobs.
    """
    policy = QueuePolicy("q", "line", 0, 3, 1.6, 60)
    step = StepSpec(1, Resources(1000), 50)
    offer = Offer("1", "e", policy, JobSpec("", (step,)), 0.0, 1.0)
    # A field that is None is not encoded, as by the previous build.
    old = attrs.evolve(offer, configuration_version=None)
    frame = protocol.encode(protocol.Envelope(7, False, old))
    case.assertEqual(protocol.decode(frame).ok.message, offer)
    member = Member("e", "a", "127.0.0.1:1", 1.0, "t")
    reply = protocol.HeartbeatReply(1, True, False, (), {}, 0, 0, 0.0, 0)
    for message, names in (
        (protocol.Heartbeat(member, 0), ("cancelled_jobs",)),
        (reply, ("cancelled_jobs", "accepts_cancellations")),
    ):
        old = attrs.evolve(message, **dict.fromkeys(names))
        frame = protocol.encode(protocol.Envelope(7, True, old))
        case.assertEqual(protocol.decode(frame).ok.message, message)
    for name in ("job_id", "heartbeat_number"):
        damaged = attrs.evolve(offer, **{name: None})
        frame = protocol.encode(protocol.Envelope(7, False, damaged))
        fault = protocol.decode(frame).error.fault
        case.assertEqual(fault, protocol.FrameFault.MISSING_FIELD)


HEARTBEAT = protocol.Heartbeat(
    Member("entry-0", "a", "10.0.0.1:7100", 1.0, "t"), 3, number=9
)
REPLY = protocol.HeartbeatReply(3, True, False, (), {}, 2, 0, 1.5, 4)
# The frames that a build without evacuations sends for these messages.
FRAMES_BEFORE_EVACUATIONS = (
    (
        HEARTBEAT,
        "1602120c2e1c1807656e7472792d30180161180d31302e302e302e313a373130"
        "3017000000000000f03f1801740016061600170000000000000000190816120000",
    ),
    (
        REPLY,
        "1602120c3016061112190c1b001604160017000000000000f83f1608111908" "0000",
    ),
)


def test_heartbeats_of_the_build_before_evacuations_are_read(case):
    """Guards against entries of two builds that cannot read each other.

    Fields that only one of them has must be optional: otherwise each takes the
    other for silent while the entries are replaced one after another.
    """
    for message, frame in FRAMES_BEFORE_EVACUATIONS:
        envelope = protocol.Envelope(1, False, message)
        case.assertEqual(protocol.decode(bytes.fromhex(frame)).ok, envelope)
        # Without a value, fields take no bytes, so that the frame is the same as
        # before. Those of cancellations have values, also if there are none.
        names = {"cancelled_jobs", "accepts_cancellations"}
        known = {field.name for field in attrs.fields(type(message))}
        before = attrs.evolve(message, **dict.fromkeys(names & known))
        envelope = protocol.Envelope(1, False, before)
        case.assertEqual(protocol.encode(envelope).hex(), frame)


def test_missing_extension_raises(case):
    """Guards against starting without Thrift's C extension.

    Encoding calls the extension directly and would fail at the first message.
    """
    protocol.require_acceleration()
    with (
        mock.patch.object(protocol._codec, "fastbinary", None),
        case.assertRaises(protocol.AccelerationMissingError),
    ):
        protocol.require_acceleration()
