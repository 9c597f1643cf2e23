"""Tests for decoding the platform's JSON documents."""

import json

from anvilford.placement import JobSpec
from anvilford.placement import Resources
from anvilford.placement import TargetRecord
from anvilford.platform import decode_configuration
from anvilford.platform import decode_evacuation
from anvilford.platform import decode_job
from anvilford.platform import decode_target
from anvilford.platform import EvacuationRow
from anvilford.platform import InvalidJobBody
from anvilford.platform import MalformedDocument
from anvilford.platform import StoreRow
from anvilford.platform import UnsupportedJob
from testkit import function_tests

load_tests = function_tests(__name__)

TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 1024, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 5,
    "seq": 4,
}


def row(value: object) -> StoreRow:
    """Returns a store row whose content is `value`, as JSON if not bytes."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreRow("t", "k", data, 7)


def test_target_is_decoded(case):
    """Every field of a target's row must reach the matching attribute."""
    case.assertEqual(
        decode_target(row(TARGET)),
        TargetRecord(
            "k", 5, "10.0.0.1:80", "a", "s", False, 0,
            Resources(16000, 1024, 0), ("a", "r1"), 7,
        ),  # fmt: skip
    )


def test_evacuation_row_is_decoded(case):
    """The key of a row must name the zone, whatever the content is.

    A row whose content is damaged is an evacuation too, the safe side. Other
    rows of the table must not evacuate anything.
    """
    for key, value, expected in (
        ("evacuate/a", b"{}", EvacuationRow("a", 7)),
        ("evacuate/zone/1", b'{"x": 1}', EvacuationRow("zone/1", 7)),
        ("config", b"{}", None),
        ("evacuate", b"{}", None),
        ("evacuated/a", b"{}", None),
    ):
        found = decode_evacuation(StoreRow("op", key, value, 7))
        case.assertEqual(found, expected, key)
    for value in (b"", b"\xff", b"{", b"[" * 100_000):
        found = decode_evacuation(StoreRow("op", "evacuate/a", value, 7))
        case.assertEqual((found.zone, found.version), ("a", 7))
        case.assertNotEqual(found.fault, "")
    for key in ("evacuate/", "evacuate/a\r\nX: 1", "evacuate/\ud800"):
        found = decode_evacuation(StoreRow("op", key, b"{}", 7))
        case.assertIsInstance(found, MalformedDocument, key)


def test_malformed_targets_are_not_used(case):
    """A row that does not follow the target schema must be reported.

    Any program can write to the table. A row with a missing field, a wrong
    type or an unknown state must not become a target that gets tasks.
    """
    for change in (
        {"state": "resting"},
        {"capacity": None},
        {"capacity": {"cpu": "16000", "mem_mb": 1, "gpu": 0}},
        {"address": 5},
        {"service": None},
        {"cold_remaining_ms": 0.5},
        {"labels": [1]},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1: 80"},
        {"address": "10.0.0.1"},
        {"address": ":80"},
        {"address": "10.0.0.1\r\nX-Odd: 1:80"},
        {"zone": "z" * 1000},
        {"service": ""},
        {"labels": ["a\ud800"]},
        {"born": 10**30},
    ):
        with case.subTest(change=change):
            decoded = decode_target(row({**TARGET, **change}))
            case.assertIsInstance(decoded, MalformedDocument)
    for data in (b"", b"\xff", b"[]", b"{"):
        with case.subTest(data=data):
            case.assertIsInstance(decode_target(row(data)), MalformedDocument)


def test_reason_for_a_malformed_row_is_short(case):
    """Guards against log lines as long as a row of another writer."""
    for data in (b"\xff" * 10**6, json.dumps({"state": "s" * 10**6}).encode()):
        malformed = decode_target(row(data))
        case.assertLess(len(malformed.reason), 500)


def test_malformed_configuration_is_reported(case):
    """A configuration with any invalid part must be rejected as a whole.

    Otherwise some of its routes would be applied and others not.
    """
    for value in ({}, [], {"version": 1, "routes": [{}]}):
        with case.subTest(value=value):
            decoded = decode_configuration(row(value))
            case.assertIsInstance(decoded, MalformedDocument)


def test_job_is_decoded(case):
    """Resource needs and constraints of each step must be decoded.

    If a field is mapped to the wrong attribute, tasks are placed on targets
    without the resources, label or rack that they need.
    """
    body = {
        "spec": "x",
        "best_effort": True,
        "steps": [
            {"count": 2, "cpu": 5, "mem_mb": 6, "estimate_ms": 7},
            {"count": 1, "after": [0], "requires": "a", "affinity": "r1"},
        ],
    }
    job = decode_job(json.dumps(body).encode())
    case.assertIsInstance(job, JobSpec)
    first, second = job.steps
    case.assertEqual((first.count, first.need), (2, Resources(5, 6, 0)))
    case.assertEqual(
        (second.after, second.label, second.rack), ((0,), "a", "r1")
    )


def test_unsupported_and_invalid_jobs_are_distinguished(case):
    """Unsupported and invalid jobs must be refused, each as its own type.

    If an unsupported field were ignored, the job would be accepted and run
    without what the field asks for.
    """
    step = {"count": 1, "cpu": 1}
    for change, expected in (
        ({"best_effort": False}, UnsupportedJob),
        ({"long_running": True}, UnsupportedJob),
        ({"repeat_count": 2}, UnsupportedJob),
        ({"steps": [{**step, "gang": True}]}, UnsupportedJob),
        ({"steps": [{**step, "fills": True}]}, UnsupportedJob),
        ({"steps": []}, InvalidJobBody),
        ({"steps": [{"count": 0}]}, InvalidJobBody),
        ({"steps": [{**step, "after": [0]}]}, InvalidJobBody),
        ({"steps": None}, InvalidJobBody),
    ):
        with case.subTest(change=change):
            body = {"spec": "", "best_effort": True, "steps": [step], **change}
            decoded = decode_job(json.dumps(body).encode())
            case.assertIsInstance(decoded, expected)
    for data in (b"", b"[]", b"\xff"):
        case.assertIsInstance(decode_job(data), InvalidJobBody)
