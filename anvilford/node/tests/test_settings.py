"""Tests of the settings of an entry on the platform."""

import json
import pathlib
import tempfile

from anvilford.node._settings import load_node_settings
from testkit import function_tests

load_tests = function_tests(__name__)

TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy" / "settings.json.tmpl"
SETTINGS = {
    "name": "edge-1", "zone": "a", "callers": "127.0.0.1:1",
    "ready": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4",
    "store": "127.0.0.1:5", "cores": 2, "stop_grace_s": 6,
    "max_lease_ms": 1000, "stop_time_ms": 50, "remote_penalty": 2,
}  # fmt: skip


def load(**changes):
    """Loads the settings with some values changed."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({**SETTINGS, **changes}, file)
        file.flush()
        return load_node_settings(file.name)


def test_cores_and_their_share_are_told_apart(case):
    """Guards against a leader that is chosen by the share of one core.

    VMs of 2 cores at 0.645 and of 3 at 0.717 seemed nearly equal, so a smaller
    one went on leading a large site.
    """
    template = TEMPLATE.read_text(encoding="utf-8")
    case.assertIn('"cores": {{limits.cores|json}}', template)
    case.assertIn('"cpu_share": {{limits.cpu_share|json}}', template)
    loaded = load(cpu_share=0.645).ok
    case.assertAlmostEqual(loaded.cores * loaded.cpu_share, 1.29)
    case.assertEqual(load().ok.cpu_share, 1.0)
    for share in (0, -1, "half"):
        with case.subTest(share=share):
            case.assertTrue(load(cpu_share=share).is_error())


def test_separation_of_tasks_is_a_choice(case):
    """Guards against an entry that separates tasks where that is turned off.

    A text such as "false" must not count as true.
    """
    case.assertIs(load().ok.separate_interfering_tasks, True)
    off = load(separate_interfering_tasks=False).ok
    case.assertIs(off.separate_interfering_tasks, False)
    for value in ("false", 0, None):
        with case.subTest(value=value):
            loaded = load(separate_interfering_tasks=value)
            case.assertTrue(loaded.is_error())


def test_pause_of_callers_is_that_of_the_site(case):
    """Guards against runs that outlive a pause shorter than the usual one."""
    template = TEMPLATE.read_text(encoding="utf-8")
    case.assertIn(
        '"resubmit_pause_ms": {{bounds.retransmit_ms|json}}', template
    )
    case.assertEqual(load().ok.resubmit_pause_ms, 1300)
    case.assertEqual(load(resubmit_pause_ms=900).ok.resubmit_pause_ms, 900)
    for pause in (0, -1, "soon"):
        with case.subTest(pause=pause):
            case.assertTrue(load(resubmit_pause_ms=pause).is_error())
