"""Tests of the configuration document, its row and the register."""

import json
import random

from anvilford import configuration
from testkit import function_tests

load_tests = function_tests(__name__)

FULL = {
    "preset": "peak",
    "services": {"line-brain": {"restart_failed": True, "weight": 2}},
    "quotas": {"line": 400},
}


def chain(length):
    """Returns rows with versions 1 to `length`, each made from the last."""
    rows = []
    for index in range(length):
        document = configuration.parse_document(FULL).ok
        previous = rows[-1] if rows else None
        value = configuration.next_row_value(
            previous, document, f"op{index}", "ana"
        )
        # What a peer or the table returns has passed through JSON.
        value = json.loads(json.dumps(value))
        rows.append(configuration.parse_row(index + 1, value).ok)
    return rows


def test_documents_keep_their_content(case):
    """Guards against options lost between the file and the scheduler."""
    document = configuration.parse_document(FULL).ok
    service = document.services["line-brain"]
    case.assertEqual(service, configuration.ServiceDocument(True, 2.0, None))
    case.assertEqual(document.quotas, {"line": 400})
    encoded = json.loads(json.dumps(configuration.encode_document(document)))
    case.assertEqual(configuration.parse_document(encoded).ok, document)


def test_maintenance_alone_refuses_jobs(case):
    """Guards against new work in maintenance, or none at the peak."""
    accepting = {
        name: configuration.parse_document({"preset": name}).ok.accepts_jobs
        for name in ("ordinary", "peak", "maintenance")
    }
    case.assertEqual(
        accepting, {"ordinary": True, "peak": True, "maintenance": False}
    )


def test_bad_documents_name_the_path(case):
    """Guards against a document in force that an entry cannot carry out."""
    table = [
        ([], ""),
        ({}, "preset"),
        ({"preset": "holiday"}, "preset"),
        ({"preset": ["peak"]}, "preset"),
        (FULL | {"extra": 1}, "extra"),
        (FULL | {"services": {"": {}}}, "services"),
        (FULL | {"services": {"a": {"weight": 0}}}, "services/a/weight"),
        (FULL | {"services": {"a": {"weight": True}}}, "services/a/weight"),
        (
            FULL | {"services": {"a": {"weight": float("nan")}}},
            "services/a/weight",
        ),
        (FULL | {"services": {"a": {"speed": 1}}}, "services/a/speed"),
        (FULL | {"quotas": {"line": -1}}, "quotas/line"),
        (FULL | {"quotas": {"line": 1.5}}, "quotas/line"),
        (FULL | {"quotas": {"x" * 65: 1}}, "quotas"),
    ]
    for value, path in table:
        failures = configuration.parse_document(value).error
        case.assertEqual([f.path for f in failures], [path], value)
        case.assertTrue(failures[0].allowed)


def test_bad_rows_are_typed_failures(case):
    """Guards against a daemon that stops on a row edited by hand."""
    good = configuration.encode_row(chain(1)[0])
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
    """Guards against a reverted change (P8) when rows arrive in any order."""
    rows = chain(8)
    for seed in range(50):
        rng = random.Random(seed)
        register = configuration.ConfigurationRegister()
        case.assertEqual(register.version, 0)
        highest = 0
        for row in rng.choices(rows, k=30):
            before = highest
            highest = max(highest, row.version)
            case.assertEqual(register.apply(row), highest > before)
            case.assertEqual(register.version, highest)
            case.assertEqual(register.row.operation, f"op{highest - 1}")


def test_history_finds_a_lost_write(case):
    """Guards against a second write after an answer was lost."""
    length = configuration.MAX_HISTORY_ENTRIES
    newest = chain(length + 6)[-1]
    case.assertEqual(len(newest.history), length)
    found = newest.find_operation("op7")
    case.assertEqual((found.version, found.author), (8, "ana"))
    case.assertEqual(newest.history[-1].version, newest.version)
    case.assertIsNone(newest.find_operation("op2"))
