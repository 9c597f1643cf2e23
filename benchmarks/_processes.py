"""Processor time, memory and requests of real daemons on loopback."""

import argparse
import asyncio
import contextlib
import os
import pathlib
import re
import socket
import time

from benchmarks import load
from benchmarks._memory import resident_mb
from standins.cluster import CALLER_TOKEN
from standins.cluster import Entry
from standins.cluster import job_document
from standins.cluster import SERVICE
from standins.cluster import Site

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# One entry may use all slots and connections of its targets.
ONE_ENTRY = {
    "http": {"threads": 320},
    "targets": {"threads": 512, "slots": 64, "entries_per_zone": 1},
    "trace": {"ratio": 0.01},
}
TARGETS = 6


def processor_s(entry: Entry) -> float:
    """Processor time that a daemon has used."""
    pid = entry.process.popen.pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def daemon_mb(entry: Entry) -> float:
    """Resident memory of a daemon."""
    return resident_mb(entry.process.popen.pid)


def counter(site: Site, entry: Entry, name: str) -> float:
    """Sum of a counter of a daemon over all labels."""
    text = site.operator_request("GET", entry, "/metrics").data.decode()
    found = re.findall(rf"^anvilford_{name}\S* (\S+)$", text, re.MULTILINE)
    return sum(float(value) for value in found)


@contextlib.contextmanager
def one_entry():
    """A site whose single daemon may start many tasks at once."""
    with Site(targets_per_zone=0, settings_overrides=ONE_ENTRY) as site:
        for index in range(TARGETS):
            site.start_target(f"wide-{index}", site.zones[0], "--slots", "64")
        time.sleep(2.5)
        yield site


def drive(
    site: Site,
    tasks: int,
    seconds: float,
    rate: float | None = None,
    callers: int | None = None,
) -> dict[str, float]:
    """Sends jobs; returns the daemon's use and the outcomes.

    Args:
        site: Site with one entry.
        tasks: Tasks in each job.
        seconds: Length of the load.
        rate: Jobs per second, without waiting for answers.
        callers: Instead of a rate, callers that wait for their answers.
    """
    entry = site.entries[0]
    arguments = argparse.Namespace(
        entries=entry.callers,
        token=CALLER_TOKEN,
        service=SERVICE,
        operation="check",
        rate=rate,
        callers=callers,
        seconds=seconds,
        tasks=tasks,
        run_ms=20.0,
        long_share=0.0,
        long_factor=1.0,
        deadline_ms=9000,
        connections=64,
        seed=1,
        target=None,
    )
    before, started = processor_s(entry), time.monotonic()
    report = asyncio.run(load.measure(arguments))["entry"]
    elapsed = time.monotonic() - started
    used = processor_s(entry) - before
    complete = report["counts"].get("complete", 0)
    return {
        "cores": used / elapsed,
        "jobs_per_s": complete / elapsed,
        "ms_per_job": 1000 * used / max(1, complete),
        "incomplete": report["sent"] - complete,
    }


def idle_use(
    zones: int,
    entries: int,
    targets: int,
    listed: int = 0,
    seconds: float = 5.0,
) -> dict[str, float]:
    """Use of each daemon of a site without jobs, and of the platform.

    Args:
        zones: Availability zones.
        entries: Entry daemons in each zone.
        targets: Targets in each zone.
        listed: Further targets that stand in the platform's list only.
        seconds: Length of the measurement.
    """
    names = tuple(f"zone-{number:02d}" for number in range(zones))
    with Site(names, entries, targets) as site:
        for number in range(listed):
            address = f"10.1.{number // 250}.{number % 250}:7300"
            vm_id = f"vm-{number:08x}"
            site.list_vm(vm_id, "target", names[0], address, SERVICE)
        time.sleep(3.0)
        count = len(site.entries)

        def requests() -> dict:
            url = f"http://{site.platform}/stats"
            return site.http.request("GET", url).json()

        def sums() -> list[float]:
            return [
                sum(processor_s(e) for e in site.entries),
                sum(counter(site, e, "peer_bytes_sent") for e in site.entries),
                sum(
                    counter(site, e, "peer_messages_sent") for e in site.entries
                ),
            ]

        before, asked, started = sums(), requests(), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        after, answered = sums(), requests()
        cpu, sent, messages = (
            (b - a) / elapsed for a, b in zip(before, after, strict=True)
        )
        rate = {k: (answered[k] - asked.get(k, 0)) / elapsed for k in answered}
        listed = site.http.request("GET", f"http://{site.platform}/vms").data
        return {
            "core_percent_per_entry": 100 * cpu / count,
            "sent_bytes_per_s_per_entry": sent / count,
            "messages_per_s_per_entry": messages / count,
            "mb_per_entry": max(daemon_mb(e) for e in site.entries),
            "list_bytes": float(len(listed)),
            "list_reads_per_s": rate.get("GET vms", 0.0),
            "table_reads_per_s": rate.get("GET table", 0.0),
        }


def connection_memory(sizes: tuple[int, ...]) -> dict[int, dict[str, float]]:
    """Memory of a daemon with idle keep-alive connections of callers."""
    points = {}
    with one_entry() as site, contextlib.ExitStack() as stack:
        entry = site.entries[0]
        host, _, port = entry.callers.rpartition(":")
        opened = 0
        for size in sizes:
            for _ in range(size - opened):
                connection = socket.create_connection((host, int(port)))
                stack.enter_context(connection)
                connection.sendall(
                    b"GET /v1/ready HTTP/1.1\r\nHost: entry\r\n\r\n"
                )
                connection.recv(1000)
            opened = size
            time.sleep(0.5)
            points[size] = {"daemon_mb": daemon_mb(entry)}
    return points


def running_memory(sizes: tuple[int, ...]) -> dict[int, dict[str, float]]:
    """Memory of a daemon while so many tasks run at targets."""
    points = {}
    with one_entry() as site:
        entry = site.entries[0]
        for size in sizes:
            number = site.issue_submission_ids(entry)[0]
            body = job_document(size, run_ms=1500, deadline_ms=9000)
            with contextlib.suppress(Exception):
                site.caller_request(
                    "PUT", entry, f"submissions/{number}", body, timeout=1.0
                )
            points[size] = {"daemon_mb": daemon_mb(entry)}
            time.sleep(2.0)
    return points
