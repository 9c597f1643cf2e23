"""Helpers that load a site with default settings and read its counters."""

import asyncio
import contextlib
import os
import time
from typing import Any

import urllib3

from anvilford.settings import HttpSettings
from anvilford.settings import TargetSettings
from anvilford.settings import TraceSettings
from benchmarks import load
from standins.cluster import CALLER_TOKEN
from standins.cluster import Entry
from standins.cluster import SERVICE
from standins.cluster import Site

# Daemons poll the VM list once a second; this is ten polls.
TARGET_DISCOVERY_TIMEOUT_S = 10.0
MS_PER_TICK = 1000 / os.sysconf("SC_CLK_TCK")


def default_settings() -> dict[str, dict[str, Any]]:
    """Returns settings that replace the test site's small ones by defaults."""
    return {
        "http": {"threads": HttpSettings().threads},
        "targets": {"threads": TargetSettings().threads},
        "trace": {"ratio": TraceSettings().ratio},
    }


def run_load(site: Site, *options: str, direct: str = "") -> dict[str, Any]:
    """Runs `benchmarks.load` against all entries of a site.

    Args:
        site: The running site.
        *options: Command-line options of `benchmarks.load`.
        direct: Address of a target that is called directly at the same time;
            empty for none.

    Returns:
        The report of `benchmarks.load`.
    """
    entries = ",".join(entry.callers for entry in site.entries)
    arguments = ["--entries", entries, "--token", CALLER_TOKEN]
    arguments += ["--service", SERVICE, *options]
    if direct:
        arguments += ["--target", direct]
    return asyncio.run(load.measure_load(load.parse_arguments(arguments)))


def daemon_cpu_ms(entry: Entry) -> float:
    """Returns the processor time that a daemon has used so far.

    In milliseconds, at the resolution of the kernel's clock tick (usually
    10 ms).
    """
    path = f"/proc/{entry.member.process.pid}/stat"
    with open(path, encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * MS_PER_TICK


def read_counters(site: Site) -> dict[str, float]:
    """Returns metric series by name and labels, summed over all daemons."""
    sums: dict[str, float] = {}
    for entry in site.entries:
        response = site.operator("GET", entry, "/metrics")
        for line in response.data.decode().splitlines():
            if line.startswith("#"):
                continue
            name, _, value = line.rpartition(" ")
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


def sum_counter(sums: dict[str, float], name: str, label: str = "") -> float:
    """Sums a counter over its series.

    Args:
        sums: Values by series, as `read_counters` returns them.
        name: Name of the counter without "anvilford_" and "_total".
        label: Text that a series must contain to be counted, such as
            'outcome="AttemptNotStarted"'.
    """
    prefix = f"anvilford_{name}_total"
    return sum(
        value
        for series, value in sums.items()
        if series.partition("{")[0] == prefix and label in series
    )


def wait_for_targets(site: Site) -> None:
    """Waits until every daemon lists all targets of the site.

    Raises:
        TimeoutError: A daemon did not list all targets within
            `TARGET_DISCOVERY_TIMEOUT_S`.
    """
    end = time.monotonic() + TARGET_DISCOVERY_TIMEOUT_S
    while time.monotonic() < end:
        # The operators' listener opens after the callers' listener, so the
        # first requests may fail.
        with contextlib.suppress(urllib3.exceptions.HTTPError, ValueError):
            known = [
                len(site.operator("GET", e, "/v1/targets").json()["targets"])
                for e in site.entries
            ]
            if min(known) >= len(site.targets):
                return
        time.sleep(0.1)
    raise TimeoutError(
        f"a daemon did not list all {len(site.targets)} targets within"
        f" {TARGET_DISCOVERY_TIMEOUT_S:g} s"
    )
