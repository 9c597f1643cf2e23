"""Tests of `benchmarks.slopes` and its helpers."""

import contextlib
import io
import json
import pathlib
import tempfile

from benchmarks import _core_cost
from benchmarks import slopes
from benchmarks._control_plane import ControlPlane
from benchmarks._control_plane import SiteSize
from benchmarks._slope_types import run_sweep
from testkit import function_tests

load_tests = function_tests(__name__)


def test_control_plane_settles(case):
    """Checks that after the warm-up only periodic messages are sent.

    Otherwise the measured traffic would include the start-up.
    """
    control_plane = ControlPlane(SiteSize())
    control_plane.run(5.0)
    control_plane.reset_totals()
    control_plane.run(4.0)
    case.assertEqual(control_plane.totals["full_messages"], 0)
    gossip = 4 * 9 * 2 * 3
    # An idle entry reports its load to the other entries of its zone every
    # 2 s; the nine entries are in zones of 3, 2, 2 and 2.
    reports = 4 // 2 * (3 * 2 + 3 * 2 * 1)
    case.assertEqual(control_plane.totals["messages"], gossip + reports)
    case.assertEqual(control_plane.totals["list_reads"], 4 * 9)


def test_changes_arrive_everywhere(case):
    """Checks that changes reach entries that cannot reach the platform.

    Otherwise the measured delay would cover only entries that poll it.
    """
    control_plane = ControlPlane(SiteSize(entries=6, polling_entries=1))
    control_plane.run(5.0)
    case.assertEqual(len(control_plane.applied_at), 6)
    control_plane.change_configuration()
    control_plane.mark_target_leaving()
    control_plane.run(3.0)
    case.assertEqual(len(control_plane.applied_at), 6)
    digests = {core.directory.fingerprint() for core in control_plane.cores}
    case.assertEqual(len(digests), 1)
    states = {
        c.directory.vms["vm-0000001d"].info.state for c in control_plane.cores
    }
    case.assertEqual({int(state) for state in states}, {2})


def test_configuration_change_sends_no_vms(case):
    """Checks that a configuration change does not transmit the VM list.

    With 2,000 targets, full gossip messages cost 913 kB per entry and change.
    """
    control_plane = ControlPlane(SiteSize(targets=200))
    control_plane.run(5.0)
    control_plane.reset_totals()
    control_plane.change_configuration()
    control_plane.run(3.0)
    case.assertEqual(len(control_plane.applied_at), 9)
    case.assertEqual(control_plane.totals["full_messages"], 0)


def test_job_cost_runs_every_task(case):
    """Checks that the cost of a job includes tasks that wait for a slot."""
    small = _core_cost.measure_job_cost(SiteSize(), 10, 3)
    large = _core_cost.measure_job_cost(SiteSize(), 200, 3)
    case.assertGreater(large, 5 * small)


def test_line_and_range(case):
    """Checks the fitted line, its range, and that constants get no line."""
    slope = run_sweep(
        "n", "items", "", (1, 2, 4, 8), lambda n: {"a": 3.0 + 2 * n, "b": 5.0}
    )
    document = slope.to_document()
    case.assertEqual(document["range"], [1, 8])
    case.assertAlmostEqual(document["fits"]["a"]["slope"], 2.0)
    case.assertLess(document["fits"]["a"]["residual_worst"], 1e-9)
    case.assertNotIn("b", document["fits"])


def test_report_file(case):
    """Checks that the JSON file contains the lines that are printed."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "report.json"
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            slopes.main(["--only", "core_jobs", "--json", str(file)])
        report = json.loads(file.read_text())
    case.assertIn("job_us", report[0]["fits"])
    case.assertIn("residual", output.getvalue())
