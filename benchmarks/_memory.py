"""Measures the resident memory that one kind of state takes.

Each measurement runs in a new process, so that none inherits memory from
another one.
"""

import json
import multiprocessing
import pathlib
import resource

from anvilford.entry import SubmissionRequested
from anvilford.model import EncodedAnswer
from anvilford.model import parse_job
from anvilford.protocol import RequestKind
from anvilford.submissions import Ledger
from anvilford.submissions import Record
from anvilford.submissions import RetentionLimits
from benchmarks._control_plane import make_incarnation
from benchmarks._control_plane import SiteSize
from benchmarks._core_cost import CALLER
from benchmarks._core_cost import make_core

ANSWER_BYTES = 300
TASKS_PER_JOB = 100


def resident_memory_mb(pid: int | str = "self") -> float:
    """Returns the resident memory of a process in megabytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * resource.getpagesize() / 1e6


def measure_memory_growth_mb(kind: str, size: int) -> float:
    """Returns by how many megabytes a new process grows as it creates state.

    Args:
        kind: "records" (answered jobs in a ledger), "tasks" (waiting tasks of
            a core) or "targets" (targets known to a core).
        size: Number of items of this kind.
    """
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(_measure_growth_mb, (kind, size))


def _measure_growth_mb(kind: str, size: int) -> float:
    make = {
        "records": _make_ledger,
        "tasks": _make_core_with_tasks,
        "targets": _make_core_with_targets,
    }[kind]
    make(1)
    before = resident_memory_mb()
    state = make(size)
    grown = resident_memory_mb() - before
    del state
    return grown


def _make_ledger(count: int) -> Ledger:
    me = make_incarnation(0, SiteSize())
    ledger = Ledger(me, bytes(32), RetentionLimits(10**7, 2**32))
    store = ledger.store
    for sequence in range(count):
        record = Record(sequence, CALLER, f"{sequence:064x}")
        body = f"{sequence:0{ANSWER_BYTES}d}".encode()
        store.add(record)
        store.settle(sequence, EncodedAnswer("complete", body))
    return ledger


def _make_core_with_targets(count: int) -> object:
    return make_core(SiteSize(targets=count))


def _make_core_with_tasks(count: int) -> object:
    core = make_core(SiteSize())
    for number in range(count // TASKS_PER_JOB):
        tasks = [
            {
                "operation": "check",
                "payload": {"echo": f"{number}/{n}", "run_ms": 50},
                "declared_ms": 1,
            }
            for n in range(TASKS_PER_JOB)
        ]
        document = {
            "service": "service-000",
            "deadline_ms": 120_000,
            "tasks": tasks,
        }
        body = json.dumps(document).encode()
        event = SubmissionRequested(
            f"r{number}",
            f"{CALLER}-{number}",
            core.issue_ids(f"{CALLER}-{number}", 1)[0],
            RequestKind.SUBMIT,
            parse_job(body).ok,
            body,
            120_000,
        )
        core.handle(event, 1.0)
    held = len(core.jobs) * TASKS_PER_JOB
    if held < count - count % TASKS_PER_JOB:
        raise AssertionError(f"the core admitted {held} of {count} tasks")
    return core
