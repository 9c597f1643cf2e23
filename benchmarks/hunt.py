"""Searches for scenarios in which the dispatcher breaks a rule; replays them.

The scenarios, called days, are run by the users' test bench. The bench is a
program outside this repository, so its path is an argument. A site file
describes the site on which days run. The bench draws days at random, checks its
rules on each and writes the results to its journal.

Every day with a broken rule or a fault is recorded in a JSON file, with the
site, the name of the day, the broken rules and all later replays. `replay` runs
each of them again: by its seed if the recorded name includes `--seed`,
otherwise by its name.

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

# Folder into which the bench writes one JSON file for each of its runs.
JOURNAL = pathlib.Path("journal")
# Days that the bench runs in parallel, which use half of six cores.
DEFAULT_PARALLEL_DAYS = 3


class BenchFailedError(Exception):
    """The bench wrote no complete journal entry."""


@attrs.define
class Finding:
    """Day in which the dispatcher broke a rule.

    Attributes:
        site: Path of the site file.
        day: Name of the day in the bench's journal, with its seed if it has
            one. The bench runs the day again when given this name.
        rules: Number of violations by rule. A fault that the bench reported
            counts as one violation of "fault".
        commit: Commit at which the day was found.
        journal: Id of the journal entry that reported the day.
        replays: Commit, journal entry and violations of each replay.
    """

    site: str
    day: str
    rules: dict[str, int]
    commit: str
    journal: str
    replays: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.define
class HuntRecord:
    """All hunts and findings, which are stored in one JSON file.

    Attributes:
        path: Path of the file.
        hunts: Site, number of days, number of days with a broken rule, commit
            and journal entry of each batch.
        findings: Days with a broken rule.
    """

    path: pathlib.Path
    hunts: list[dict[str, Any]] = attrs.field(factory=list)
    findings: list[Finding] = attrs.field(factory=list)

    def load(self) -> None:
        """Replaces hunts and findings by those in the file, if it exists."""
        if self.path.exists():
            value = json.loads(self.path.read_text("utf-8"))
            self.hunts = value["hunts"]
            self.findings = [Finding(**item) for item in value["findings"]]

    def save(self) -> None:
        """Writes hunts and findings to the file."""
        value = {
            "hunts": self.hunts,
            "findings": [attrs.asdict(finding) for finding in self.findings],
        }
        self.path.write_text(json.dumps(value, indent=1) + "\n", "utf-8")


def run_bench(bench: pathlib.Path, arguments: Sequence[str]) -> dict[str, Any]:
    """Runs the bench once.

    Args:
        bench: Path of the bench.
        arguments: Command line for the bench.

    Returns:
        Contents of the journal entry that the bench wrote.

    Raises:
        BenchFailedError: The bench wrote no entry for these arguments, or one
            without days.
    """
    before = set(JOURNAL.glob("*.json"))
    run = subprocess.run(
        [str(bench), *arguments], stdout=subprocess.PIPE, text=True, check=False
    )
    new = sorted(set(JOURNAL.glob("*.json")) - before)
    entries = [json.loads(path.read_text("utf-8")) for path in new]
    own = [entry for entry in entries if _is_entry_of(entry, arguments)]
    if not own:
        raise BenchFailedError(
            "the bench wrote no entry of this run to its journal folder; its"
            f" exit status is {run.returncode}"
        )
    entry = own[-1]
    if not entry.get("days"):
        raise BenchFailedError(
            f"journal entry {entry['id']} contains no days; error of the bench:"
            f" {entry.get('error')}"
        )
    return entry


def _is_entry_of(entry: dict[str, Any], arguments: Sequence[str]) -> bool:
    """Returns whether a journal entry is that of a run with the arguments.

    Other runs may write to the journal at the same time. An entry holds only
    the file name of the site.
    """
    verb, site, *rest = arguments
    played_site, *played_rest = entry["argv"]
    return (
        entry["cmd"] == verb
        and pathlib.PurePath(played_site).name == pathlib.PurePath(site).name
        and played_rest == rest
    )


def broken_rules(day: dict[str, Any]) -> dict[str, int]:
    """Returns the violations in a day by rule; a fault counts as one."""
    rules = dict(day["rules"])
    if day["fault"]:
        rules["fault"] = 1
    return rules


def run_hunts(record: HuntRecord, options: argparse.Namespace) -> None:
    """Runs batches of days on each site and records those with violations."""
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
    """Runs the day of every finding again and records its violations."""
    for finding in record.findings:
        day = shlex.split(finding.day)
        # The bench runs a day from its seed, or replays by name a day that it
        # drew itself.
        verb = "run" if "--seed" in day else "replay"
        entry = run_bench(options.bench, [verb, finding.site, *day])
        rules = broken_rules(entry["days"][0])
        finding.replays.append(
            {"commit": entry["head"], "journal": entry["id"], "rules": rules}
        )
        record.save()


def format_record(record: HuntRecord) -> str:
    """Formats the hunts by site, and the findings with their last replay."""
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
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hunt")
    verbs = parser.add_subparsers(dest="verb", required=True)
    for name, text in (
        ("run", "run random days on sites and record broken rules"),
        ("replay", "run the days of all findings again"),
        ("table", "print hunts and findings"),
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
    """Runs one command and prints all hunts and findings.

    Returns:
        Exit status: 0, or 1 if a finding was never replayed or broke a rule
        in its last replay.
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
