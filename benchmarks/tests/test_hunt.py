"""Tests of `benchmarks.hunt` with a fake of the users' test bench."""

import contextlib
import io
import json
import os
import pathlib
import tempfile

from benchmarks import hunt
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Script that replaces the users' test bench. Like the bench, it writes a JSON
# file for each run. A search ("hunt") reports three scenarios ("days"): one
# without violations, one with a broken rule and one with a fault. Any other run
# reports only the one without violations.
BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
journal = pathlib.Path("journal")
journal.mkdir(exist_ok=True)
number = len(list(journal.iterdir()))
verb, site, *rest = sys.argv[1:]
days = [{"name": "quiet-1 --seed 7", "rules": {}, "fault": None}]
if verb == "hunt":
    days += [
        {"name": "mix --seed 8", "rules": {"TWICE": 2}, "fault": None},
        {"name": "hunt-ab12-3", "rules": {}, "fault": "no request is served"},
    ]
entry = {"id": f"{number:08x}", "head": "c0ffee00", "days": days}
entry |= {"cmd": verb, "argv": [".../" + pathlib.Path(site).name, *rest]}
(journal / f"{number:08x}.json").write_text(json.dumps(entry))
"""
# Writes an entry of another run after that of the bench.
OTHER_RUN = """
entry |= {"id": "other", "argv": [".../other.toml"], "days": days[:1]}
(journal / f"{number:08x}z.json").write_text(json.dumps(entry))
"""


@fixture
def bench():
    """Makes a new folder with a fake bench the current one; yields its path."""
    before = pathlib.Path.cwd()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "bench"
        path.write_text(BENCH, "utf-8")
        path.chmod(0o755)
        os.chdir(folder)
        try:
            yield path
        finally:
            os.chdir(before)


def call(*arguments: str) -> tuple[int, str]:
    """Runs the script; returns its exit status and output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        status = hunt.main(arguments)
    return status, output.getvalue()


def test_broken_days_are_kept_and_replayed(case, bench):
    """Checks that days with violations are recorded and replayed.

    Each day must be replayed in the way of its kind: by its seed or by name.
    A day that is lost from the record or replayed wrongly looks fixed.
    """
    options = ("--bench", str(bench), "--record", "found.json")
    status, text = call("run", *options, "--batches", "2", "a/site.toml")
    case.assertEqual(status, 1)
    case.assertIn("6 days", text)
    kept = json.loads(pathlib.Path("found.json").read_text())["findings"]
    days = [finding["day"] for finding in kept]
    case.assertEqual(days, ["mix --seed 8", "hunt-ab12-3"] * 2)
    case.assertEqual(kept[1]["rules"], {"fault": 1})
    status, text = call("replay", *options)
    case.assertEqual(status, 0)
    case.assertIn("clean", text)
    entries = [
        json.loads(p.read_text())
        for p in sorted(pathlib.Path("journal").glob("*.json"))[2:4]
    ]
    case.assertEqual(
        [[entry["cmd"], *entry["argv"]] for entry in entries],
        [
            ["run", ".../site.toml", "mix", "--seed", "8"],
            ["replay", ".../site.toml", "hunt-ab12-3"],
        ],
    )


def test_entry_of_another_run_is_recorded(case, bench):
    """Guards against a hunt recorded with the days of a run beside it."""
    bench.write_text(BENCH + OTHER_RUN, "utf-8")
    options = ("--bench", str(bench), "--record", "found.json")
    call("run", *options, "a/site.toml")
    (kept,) = json.loads(pathlib.Path("found.json").read_text())["hunts"]
    case.assertEqual((kept["journal"], kept["days"]), ("00000000", 3))


def test_bench_without_an_entry_is_an_error(case, bench):
    """Checks that a bench that writes no journal entry raises an error.

    Otherwise a failed bench would count as a hunt without violations.
    """
    bench.write_text("#!/bin/sh\nexit 1\n", "utf-8")
    with case.assertRaises(hunt.BenchFailedError):
        call("run", "--bench", str(bench), "--record", "f.json", "a.toml")
