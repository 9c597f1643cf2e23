"""Measures processor time, memory and requests of real daemon processes."""

import argparse
import asyncio
import contextlib
import os
import pathlib
import re
import socket
import time

from benchmarks import load
from benchmarks._memory import resident_memory_mb
from standins.cluster import CALLER_TOKEN
from standins.cluster import Entry
from standins.cluster import job
from standins.cluster import SERVICE
from standins.cluster import Site

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Lets the only entry of a site use all slots and all home connections of its
# targets.
SINGLE_ENTRY_SETTINGS = {
    "http": {"threads": 320},
    "targets": {"threads": 512, "slots": 64, "entries_per_zone": 1},
    "trace": {"ratio": 0.01},
}
TARGET_COUNT = 6


def cpu_seconds(entry: Entry) -> float:
    """Returns the processor time in seconds that a daemon has used so far."""
    pid = entry.member.process.pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def daemon_memory_mb(entry: Entry) -> float:
    """Returns the resident memory of a daemon in megabytes."""
    return resident_memory_mb(entry.member.process.pid)


def read_counter(site: Site, entry: Entry, name: str) -> float:
    """Returns the sum of a daemon's counter over all label values."""
    text = site.operator("GET", entry, "/metrics").data.decode()
    found = re.findall(rf"^anvilford_{name}\S* (\S+)$", text, re.MULTILINE)
    return sum(float(value) for value in found)


@contextlib.contextmanager
def single_entry_site():
    """Runs a site whose only daemon may start many tasks at once.

    Yields:
        The site, with 6 targets of 64 slots each, once the daemon has had time
        to read them from the platform.
    """
    with Site(targets_per_zone=0, changes=SINGLE_ENTRY_SETTINGS) as site:
        for index in range(TARGET_COUNT):
            site.start_target(f"wide-{index}", site.zones[0], "--slots", "64")
        time.sleep(2.5)
        yield site


def measure_daemon_load(
    site: Site,
    tasks: int,
    seconds: float,
    rate: float | None = None,
    callers: int | None = None,
) -> dict[str, float]:
    """Sends jobs and measures the processor time of the daemon.

    Args:
        site: Site with one entry.
        tasks: Tasks in each job.
        seconds: Length of the load in seconds.
        rate: Jobs per second in an open loop, or None.
        callers: Number of callers in a closed loop if there is no rate.

    Returns:
        Cores in use ("cores"), completed jobs per second ("jobs_per_s"),
        processor time per completed job ("ms_per_job") and the number of jobs
        that were not completed ("incomplete").
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
    before, started = cpu_seconds(entry), time.monotonic()
    report = asyncio.run(load.measure_load(arguments))["entry"]
    elapsed = time.monotonic() - started
    used = cpu_seconds(entry) - before
    complete = report["counts"].get("complete", 0)
    return {
        "cores": used / elapsed,
        "jobs_per_s": complete / elapsed,
        "ms_per_job": 1000 * used / max(1, complete),
        "incomplete": report["sent"] - complete,
    }


def measure_idle_site(
    zones: int,
    entries: int,
    targets: int,
    listed: int = 0,
    seconds: float = 5.0,
) -> dict[str, float]:
    """Measures the daemons and the platform of a site without jobs.

    Args:
        zones: Number of availability zones.
        entries: Entry daemons in each zone.
        targets: Targets in each zone.
        listed: Additional targets in the platform's VM list that have no
            process.
        seconds: Length of the measurement in seconds.

    Returns:
        Means per daemon of processor time, sent bytes and messages; the memory
        of the largest daemon; the size of the VM list; and the reads that the
        platform served per second.
    """
    names = tuple(f"zone-{number:02d}" for number in range(zones))
    with Site(names, entries, targets) as site:
        for number in range(listed):
            address = f"10.1.{number // 250}.{number % 250}:7300"
            vm_id = f"vm-{number:08x}"
            site.list_vm(vm_id, "target", names[0], address, SERVICE)
        time.sleep(3.0)
        count = len(site.entries)

        def read_platform_requests() -> dict:
            url = f"http://{site.platform}/stats"
            return site.http.request("GET", url).json()

        def sum_over_daemons() -> list[float]:
            return [
                sum(cpu_seconds(e) for e in site.entries),
                sum(
                    read_counter(site, e, "peer_bytes_sent")
                    for e in site.entries
                ),
                sum(
                    read_counter(site, e, "peer_messages_sent")
                    for e in site.entries
                ),
            ]

        before, requests_before, started = (
            sum_over_daemons(),
            read_platform_requests(),
            time.monotonic(),
        )
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        after, requests_after = sum_over_daemons(), read_platform_requests()
        cpu, sent, messages = (
            (b - a) / elapsed for a, b in zip(before, after, strict=True)
        )
        rate = {
            k: (requests_after[k] - requests_before.get(k, 0)) / elapsed
            for k in requests_after
        }
        listed = site.http.request("GET", f"http://{site.platform}/vms").data
        return {
            "core_percent_per_entry": 100 * cpu / count,
            "sent_bytes_per_s_per_entry": sent / count,
            "messages_per_s_per_entry": messages / count,
            "mb_per_entry": max(daemon_memory_mb(e) for e in site.entries),
            "list_bytes": float(len(listed)),
            "list_reads_per_s": rate.get("GET vms", 0.0),
            "table_reads_per_s": rate.get("GET table", 0.0),
        }


def measure_connection_memory(
    sizes: tuple[int, ...],
) -> dict[int, dict[str, float]]:
    """Measures a daemon's memory by its number of idle caller connections.

    Args:
        sizes: Numbers of connections, in increasing order.

    Returns:
        Memory in megabytes ("daemon_mb") for each number of connections.
    """
    points = {}
    with single_entry_site() as site, contextlib.ExitStack() as stack:
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
            points[size] = {"daemon_mb": daemon_memory_mb(entry)}
    return points


def measure_running_task_memory(
    sizes: tuple[int, ...],
) -> dict[int, dict[str, float]]:
    """Measures a daemon's memory by the number of tasks that run at targets.

    Args:
        sizes: Numbers of tasks, all submitted in one job.

    Returns:
        Memory in megabytes ("daemon_mb") for each number of tasks.
    """
    points = {}
    with single_entry_site() as site:
        entry = site.entries[0]
        for size in sizes:
            number = site.issue(entry)[0]
            body = job(size, run_ms=1500, deadline_ms=9000)
            with contextlib.suppress(Exception):
                site.caller(
                    "PUT", entry, f"submissions/{number}", body, timeout=1.0
                )
            points[size] = {"daemon_mb": daemon_memory_mb(entry)}
            time.sleep(2.0)
    return points
