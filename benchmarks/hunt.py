"""Hunts for days that break a rule, in batches, and replays what was found.

The users' bench plays the days; its path is an argument, since it is not part
of this repository. Every day that broke a rule stays in one JSON file with its
site, name, rules and replays.

    python -m benchmarks.hunt run --bench BENCH --record FILE SITE...
    python -m benchmarks.hunt replay --bench BENCH --record FILE
    python -m benchmarks.hunt table --record FILE
"""

import argparse
import json
import pathlib
import shlex
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import attrs

from anvilford.cli._output import format_table

JOURNAL = pathlib.Path("journal")
# Half of the six cores that the bench may use here.
DEFAULT_PARALLEL_DAYS = 3


class BenchFailedError(Exception):
    """The bench did not leave a finished journal entry."""


@attrs.define
class Finding:
    """A day on which a rule was broken.

    Attributes:
        site: Path of the site's file.
        day: What the bench plays again, as its journal names it.
        rules: Broken rules with their counts; a fault counts as "fault".
        commit: Commit on which it was found.
        journal: Journal entry that found it.
        replays: Later plays, as commit and broken rules.
    """

    site: str
    day: str
    rules: dict[str, int]
    commit: str
    journal: str
    replays: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.define
class HuntRecord:
    """All hunts, kept in one file.

    Attributes:
        path: The file.
        hunts: One entry for each batch: site, days played, commit, journal.
        findings: Days with a broken rule.
    """

    path: pathlib.Path
    hunts: list[dict[str, Any]] = attrs.field(factory=list)
    findings: list[Finding] = attrs.field(factory=list)

    def load(self) -> None:
        """Reads the file if there is one."""
        if self.path.exists():
            value = json.loads(self.path.read_text("utf-8"))
            self.hunts = value["hunts"]
            self.findings = [Finding(**item) for item in value["findings"]]

    def save(self) -> None:
        """Writes the file."""
        value = {
            "hunts": self.hunts,
            "findings": [attrs.asdict(finding) for finding in self.findings],
        }
        self.path.write_text(json.dumps(value, indent=1) + "\n", "utf-8")


def run_bench(bench: pathlib.Path, arguments: Sequence[str]) -> dict[str, Any]:
    """Runs the bench once.

    Returns:
        The journal entry that it wrote.

    Raises:
        HuntFailedError: There is no new entry, or it is not finished.
    """
    before = set(JOURNAL.glob("*.json"))
    run = subprocess.run(
        [str(bench), *arguments], stdout=subprocess.PIPE, text=True, check=False
    )
    new = sorted(set(JOURNAL.glob("*.json")) - before)
    if not new:
        raise BenchFailedError(f"no journal entry, status {run.returncode}")
    entry = json.loads(new[-1].read_text("utf-8"))
    if not entry.get("days"):
        raise BenchFailedError(f"{new[-1]} holds no day: {entry.get('error')}")
    return entry


def broken_rules(day: dict[str, Any]) -> dict[str, int]:
    """Rules that a day broke; a fault counts as one."""
    rules = dict(day["rules"])
    if day["fault"]:
        rules["fault"] = 1
    return rules


def run_hunts(record: HuntRecord, options: argparse.Namespace) -> None:
    """Plays batches of days on each site and keeps what broke."""
    for site in options.sites:
        for _ in range(options.batches):
            entry = run_bench(
                options.bench,
                ["hunt", site, "--days", str(options.days)]
                + ["--jobs", str(options.jobs)],
            )
            found = [
                Finding(site, d["name"], rules, entry["head"], entry["id"])
                for d in entry["days"]
                if (rules := broken_rules(d))
            ]
            record.findings += found
            record.hunts.append(
                {
                    "site": site,
                    "days": len(entry["days"]),
                    "broken": len(found),
                    "commit": entry["head"],
                    "journal": entry["id"],
                }
            )
            record.save()


def replay_findings(record: HuntRecord, options: argparse.Namespace) -> None:
    """Plays every finding again."""
    for finding in record.findings:
        day = shlex.split(finding.day)
        # Days with a seed are played, drawn ones are known by their name.
        verb = "run" if "--seed" in day else "replay"
        entry = run_bench(options.bench, [verb, finding.site, *day])
        rules = broken_rules(entry["days"][0])
        finding.replays.append(
            {"commit": entry["head"], "journal": entry["id"], "rules": rules}
        )
        record.save()


def format_record(record: HuntRecord) -> str:
    """Hunts by site, and the findings with their last replay."""
    columns = {
        "site": "SITE",
        "day": "DAY",
        "commit": "FOUND AT",
        "rules": "BROKE",
        "replay": "LAST REPLAY",
    }
    rows = []
    for site in sorted({hunt["site"] for hunt in record.hunts}):
        hunts = [hunt for hunt in record.hunts if hunt["site"] == site]
        days = sum(hunt["days"] for hunt in hunts)
        broken = sum(hunt["broken"] for hunt in hunts)
        rows.append(
            {
                "site": pathlib.Path(site).stem,
                "day": f"{days} days",
                "commit": "",
                "rules": f"{broken} days",
                "replay": "",
            }
        )
    for finding in record.findings:
        last = finding.replays[-1] if finding.replays else None
        rows.append(
            {
                "site": pathlib.Path(finding.site).stem,
                "day": finding.day,
                "commit": finding.commit[:7],
                "rules": _format_rules(finding.rules),
                "replay": f"{last['commit'][:7]} {_format_rules(last['rules'])}"
                if last
                else "none",
            }
        )
    return format_table(columns, rows)


def _format_rules(rules: dict[str, int]) -> str:
    return " ".join(f"{name} {n}" for name, n in rules.items()) or "clean"


def parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hunt")
    verbs = parser.add_subparsers(dest="verb", required=True)
    for name, text in (
        ("run", "hunt on sites"),
        ("replay", "play all findings again"),
        ("table", "print what was found"),
    ):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("--record", type=pathlib.Path, required=True)
        if name != "table":
            verb.add_argument("--bench", type=pathlib.Path, required=True)
        if name == "run":
            verb.add_argument("sites", nargs="+", metavar="SITE")
            verb.add_argument("--days", type=int, default=40)
            verb.add_argument("--batches", type=int, default=1)
            verb.add_argument("--jobs", type=int, default=DEFAULT_PARALLEL_DAYS)
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one verb.

    Returns:
        Exit status: 0, or 1 when a finding is not clean in its last play.
    """
    options = parse_arguments(argv)
    record = HuntRecord(options.record)
    record.load()
    match options.verb:
        case "run":
            run_hunts(record, options)
        case "replay":
            replay_findings(record, options)
    print(format_record(record))
    unresolved = [
        finding
        for finding in record.findings
        if not finding.replays or finding.replays[-1]["rules"]
    ]
    return 1 if unresolved else 0


if __name__ == "__main__":
    sys.exit(main())
