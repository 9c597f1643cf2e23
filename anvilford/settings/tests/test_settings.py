"""Tests of settings files, their schema and the generated settings page."""

import contextlib
import copy
import io
import json
import pathlib
import runpy
import tempfile

import attrs

from anvilford import settings
from testkit import function_tests

load_tests = function_tests(__name__)

REQUIRED_SETTINGS = {
    "vm": {"zone": "quimper-a"},
    "listen": {
        "callers": "0.0.0.0:7100",
        "operators": "10.0.0.5:7101",
        "peers": "10.0.0.5:7102",
    },
    "platform": {"address": "10.0.0.1:9000"},
    "peers": {"token": "peer-token-0123456789"},
    "callers": [{"name": "line", "token": "caller-token-0123456789"}],
    "operators": [{"name": "ana", "token": "operator-token-0123456789"}],
}
ABSENT = object()


def with_value(path, value):
    """Returns the required settings with one key set, or removed if `ABSENT`.

    Args:
        path: Path of the key, e.g. "callers/0/name".
        value: New value, or `ABSENT`.
    """
    document = copy.deepcopy(REQUIRED_SETTINGS)
    node = document
    *groups, last = path.split("/")
    for part in groups:
        node = (
            node[int(part)]
            if isinstance(node, list)
            else node.setdefault(part, {})
        )
    if value is ABSENT:
        del node[last]
    else:
        node[last] = value
    return document


def test_defaults_equal_the_schema(case):
    """Guards against a default in the schema that differs from the one used.

    The settings page is generated from the schema, while the defaults in use
    are those of the classes.
    """
    loaded = settings.parse_settings(REQUIRED_SETTINGS).ok
    for name, schema in settings.load_schema()["properties"].items():
        for key, leaf in schema.get("properties", {}).items():
            for annotation in ("description", "unit"):
                case.assertIn(annotation, leaf, f"{name}/{key}")
            if key not in schema.get("required", ()):
                value = getattr(getattr(loaded, name), key)
                value = list(value) if isinstance(value, tuple) else value
                case.assertEqual(value, leaf["default"], f"{name}/{key}")
    case.assertEqual(loaded.job_parse_limits().tasks, 1100)


def test_single_values_out_of_range_are_refused(case):
    """Guards against accepting unknown keys and values of the wrong form.

    Each failure must name the path of its key.
    """
    unknown, invalid = settings.UnknownKey, settings.InvalidValue
    table = [
        ("extra", 1, unknown),
        ("peers/gossip_s", 1, unknown),
        ("peers/gossip_ms", "500ms", invalid),
        ("peers/gossip_ms", 0.5, invalid),
        ("http/threads", True, invalid),
        ("http/threads", 0, invalid),
        ("trace/ratio", 1.5, invalid),
        ("log/level", "loud", invalid),
        ("vm/zone", "a~b", invalid),
        ("vm/zone", "quimper-a\n", invalid),
        ("vm/zone", ABSENT, settings.MissingKey),
        ("peers/token", ABSENT, settings.MissingKey),
        ("callers", [], invalid),
        ("callers/0/token", "short", invalid),
        ("listen/peers", "localhost:7102", invalid),
        ("listen/peers", "10.0.0.5", invalid),
        ("listen/peers", "10.0.0.5:0", invalid),
        ("listen/peers", "10.0.0.5:07102", invalid),
        ("listen/peers", "fd00::5:7102", invalid),
        ("listen/peers", "0.0.0.0:7102", invalid),
    ]
    for path, value, kind in table:
        failures = settings.parse_settings(with_value(path, value)).error
        case.assertEqual([type(f) for f in failures], [kind], path)
        case.assertEqual(failures[0].path, path)
        case.assertIn(path, settings.describe_failure(failures[0]))
    seeds = with_value("peers/seeds", ["10.0.0.6:7102", "host:1"])
    case.assertEqual(
        settings.parse_settings(seeds).error[0].path, "peers/seeds/1"
    )
    ipv6 = with_value("listen/peers", "[fd00::5]:7102")
    case.assertTrue(settings.parse_settings(ipv6).is_ok())


def test_combinations_are_refused(case):
    """Guards against accepting values that contradict each other.

    Each value is valid by itself but violates a rule between keys.
    """
    token = REQUIRED_SETTINGS["peers"]["token"]
    same_name = [
        {"name": "line", "token": "a" * 16},
        {"name": "line", "token": "b" * 16},
    ]
    table = [
        ("listen/operators", "10.0.0.5:7100", "listen/callers"),
        ("peers/suspect_ms", 1400, "peers/suspect_ms"),
        ("targets/connections_home", 49, "targets/connections_home"),
        ("targets/connections_home", 3, "targets/connections_home"),
        ("targets/connections_remote", 15, "targets/connections_remote"),
        ("targets/threads", 7, "targets/threads"),
        ("retention/bytes", 65536, "retention/bytes"),
        ("callers/0/token", token, "peers/token"),
        ("callers", same_name, "callers/0/name"),
    ]
    for path, value, reported in table:
        failures = settings.parse_settings(with_value(path, value)).error
        case.assertEqual([f.path for f in failures], [reported], path)
        case.assertIsInstance(failures[0], settings.InvalidCombination)


def test_invalid_files_return_failures(case):
    """Guards against an exception on a damaged file, or accepting it."""
    text = json.dumps(REQUIRED_SETTINGS)
    duplicate_key = settings.DuplicateKey
    table = [
        (b"", settings.UnreadableFile),
        (b"\xff", settings.UnreadableFile),
        (b"[" * 100_000, settings.UnreadableFile),
        (b"[]", settings.InvalidValue),
        (b'{"trace": {"ratio": NaN}}', settings.UnreadableFile),
        (text.replace('{"vm"', '{"vm": 1, "vm"').encode(), duplicate_key),
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.json")
        missing = settings.load_settings(path).error
        case.assertIsInstance(missing[0], settings.UnreadableFile)
        for content, kind in table:
            path.write_bytes(content)
            failures = settings.load_settings(path).error
            case.assertEqual([type(f) for f in failures], [kind])
        path.write_text(text, encoding="utf-8")
        loaded = settings.load_settings(path).ok
    case.assertEqual(loaded.callers[0].name, "line")


def test_tokens_are_never_shown(case):
    """Guards against tokens in logs, through failures or `repr` of settings."""
    secret = "short secret"
    for path in ("peers/token", "callers/0/token", "peers/old_token"):
        failures = settings.parse_settings(with_value(path, secret)).error
        case.assertNotIn(secret, repr(failures))
    unknown = with_value("caller", [{"token": secret}])
    case.assertNotIn(secret, repr(settings.parse_settings(unknown).error))
    loaded = settings.parse_settings(REQUIRED_SETTINGS).ok
    case.assertNotIn("0123456789", repr(loaded))
    with case.assertRaises(attrs.exceptions.FrozenInstanceError):
        loaded.vm.zone = "other"


def test_committed_page_is_current(case):
    """Guards against a committed settings page that differs from the schema.

    After a change of the schema, regenerate the page with
    `python -m anvilford.settings`.
    """
    root = pathlib.Path(__file__).resolve().parents[3]
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        runpy.run_module("anvilford.settings", run_name="__main__")
    page = (root / "docs" / "settings.md").read_text(encoding="utf-8")
    case.assertEqual(printed.getvalue(), page)
