"""Tests of the configuration document, its row and the register."""

import json
import random

from anvilford import configuration
from testkit import function_tests

load_tests = function_tests(__name__)

DOCUMENT = {
    "preset": "peak",
    "services": {"line-brain": {"restart_failed": True, "weight": 2}},
    "quotas": {"line": 400},
}


def build_rows(length):
    """Returns rows of versions 1 to `length`, each built from the last."""
    rows = []
    for index in range(length):
        document = configuration.parse_document(DOCUMENT).ok
        previous = rows[-1] if rows else None
        value = configuration.next_row_value(
            previous, document, f"op{index}", "ana"
        )
        # Rows from a peer or the table were encoded as JSON. The round trip
        # gives the parser values of the same types.
        value = json.loads(json.dumps(value))
        rows.append(configuration.parse_row(index + 1, value).ok)
    return rows


def test_documents_round_trip(case):
    """Guards against options lost when a document is parsed or encoded."""
    document = configuration.parse_document(DOCUMENT).ok
    service = document.services["line-brain"]
    case.assertEqual(service, configuration.ServiceDocument(True, 2.0, None))
    case.assertEqual(document.quotas, {"line": 400})
    encoded = json.loads(json.dumps(configuration.encode_document(document)))
    case.assertEqual(configuration.parse_document(encoded).ok, document)


def test_maintenance_alone_refuses_jobs(case):
    """Guards against jobs accepted in maintenance or refused at peak load."""
    accepting = {
        name: configuration.parse_document({"preset": name}).ok.accepts_jobs
        for name in ("ordinary", "peak", "maintenance")
    }
    case.assertEqual(
        accepting, {"ordinary": True, "peak": True, "maintenance": False}
    )


def test_bad_documents_name_the_path(case):
    """Guards against accepting an invalid document.

    An entry could not apply it. Each failure must name the path of the invalid
    key, by which the operator finds it.
    """
    table = [
        ([], ""),
        ({}, "preset"),
        ({"preset": "holiday"}, "preset"),
        ({"preset": ["peak"]}, "preset"),
        (DOCUMENT | {"extra": 1}, "extra"),
        (DOCUMENT | {"services": {"": {}}}, "services"),
        (DOCUMENT | {"services": {"a": {"weight": 0}}}, "services/a/weight"),
        (DOCUMENT | {"services": {"a": {"weight": True}}}, "services/a/weight"),
        (
            DOCUMENT | {"services": {"a": {"weight": float("nan")}}},
            "services/a/weight",
        ),
        (DOCUMENT | {"services": {"a": {"speed": 1}}}, "services/a/speed"),
        (DOCUMENT | {"quotas": {"line": -1}}, "quotas/line"),
        (DOCUMENT | {"quotas": {"line": 1.5}}, "quotas/line"),
        (DOCUMENT | {"quotas": {"x" * 65: 1}}, "quotas"),
    ]
    for value, path in table:
        failures = configuration.parse_document(value).error
        case.assertEqual([f.path for f in failures], [path], value)
        case.assertTrue(failures[0].allowed)


def test_bad_rows_return_failures(case):
    """Guards against an exception on a malformed row.

    A row in the platform's table may have been edited by hand.
    """
    good = configuration.encode_row(build_rows(1)[0])
    table = [
        (0, good),
        (1, None),
        (1, {}),
        (1, good | {"document": {}}),
        (1, good | {"author": ""}),
        (1, good | {"history": [{}]}),
    ]
    for version, value in table:
        result = configuration.parse_row(version, value)
        case.assertTrue(result.is_error(), value)
        case.assertIsInstance(result.error[0], configuration.DocumentFailure)


def test_version_in_force_never_goes_down(case):
    """Guards against an older row that replaces a newer one (property P8).

    Rows arrive from the platform and from peers in any order. The loop index
    is the seed of the order, so a failing order can be repeated.
    """
    rows = build_rows(8)
    for seed in range(50):
        rng = random.Random(seed)
        register = configuration.ConfigurationRegister()
        case.assertEqual(register.version, 0)
        highest_version = 0
        for row in rng.choices(rows, k=30):
            previous_version = highest_version
            highest_version = max(highest_version, row.version)
            case.assertEqual(
                register.apply(row), highest_version > previous_version
            )
            case.assertEqual(register.version, highest_version)
            case.assertEqual(register.row.operation, f"op{highest_version - 1}")


def test_history_finds_a_lost_write(case):
    """Guards against repeating a write whose response was lost.

    The write is recognized by its operation id in the history, which keeps the
    latest `MAX_HISTORY_ENTRIES` changes.
    """
    length = configuration.MAX_HISTORY_ENTRIES
    newest = build_rows(length + 6)[-1]
    case.assertEqual(len(newest.history), length)
    found = newest.find_operation("op7")
    case.assertEqual((found.version, found.author), (8, "ana"))
    case.assertEqual(newest.history[-1].version, newest.version)
    case.assertIsNone(newest.find_operation("op2"))
