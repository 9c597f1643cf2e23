"""Tests of the hunting script against a bench that this file writes."""

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

# Writes an entry like the bench's journal: a hunt breaks a rule on one of its
# days, a replay is clean.
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
entry["argv"] = [verb, site, *rest]
(journal / f"{number:08x}.json").write_text(json.dumps(entry))
"""


@fixture
def bench():
    """A folder with a bench, as the current folder; yields its path."""
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
    """Runs the script; returns its status and what it printed."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        status = hunt.main(arguments)
    return status, output.getvalue()


def test_broken_days_are_kept_and_replayed(case, bench):
    """Guards against a failing seed that is forgotten or never replayed."""
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
    played = [
        json.loads(p.read_text())["argv"]
        for p in sorted(pathlib.Path("journal").glob("*.json"))[2:4]
    ]
    case.assertEqual(
        played,
        [
            ["run", "a/site.toml", "mix", "--seed", "8"],
            ["replay", "a/site.toml", "hunt-ab12-3"],
        ],
    )


def test_bench_without_an_entry_is_an_error(case, bench):
    """Guards against a bench that failed and counts as a clean hunt."""
    bench.write_text("#!/bin/sh\nexit 1\n", "utf-8")
    with case.assertRaises(hunt.BenchFailedError):
        call("run", "--bench", str(bench), "--record", "f.json", "a.toml")
