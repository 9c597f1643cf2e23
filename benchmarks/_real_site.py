"""A site with the product's own settings, under the load tool's jobs."""

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

# The daemons poll the VM list once a second.
LIST_LIMIT_S = 10.0
MS_PER_TICK = 1000 / os.sysconf("SC_CLK_TCK")


def product_changes() -> dict[str, dict[str, Any]]:
    """Replaces the site's small thread counts by the product's defaults."""
    return {
        "http": {"threads": HttpSettings().threads},
        "targets": {"threads": TargetSettings().threads},
        "trace": {"ratio": TraceSettings().ratio},
    }


def run_load(site: Site, *options: str, direct: str = "") -> dict[str, Any]:
    """Runs the load tool against all entries of a site.

    Args:
        site: The running site.
        *options: Further options of `benchmarks.load`.
        direct: Address of a target that is called directly beside it.

    Returns:
        The tool's report.
    """
    entries = ",".join(entry.callers for entry in site.entries)
    arguments = ["--entries", entries, "--token", CALLER_TOKEN]
    arguments += ["--service", SERVICE, *options]
    if direct:
        arguments += ["--target", direct]
    return asyncio.run(load.measure(load.parse_arguments(arguments)))


def cpu_ms(entry: Entry) -> float:
    """Processor time used by a daemon so far, in steps of 10 ms."""
    path = f"/proc/{entry.process.popen.pid}/stat"
    with open(path, encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * MS_PER_TICK


def counters(site: Site) -> dict[str, float]:
    """Counters of all daemons of a site, summed by name and labels."""
    sums: dict[str, float] = {}
    for entry in site.entries:
        response = site.operator_request("GET", entry, "/metrics")
        for line in response.data.decode().splitlines():
            if line.startswith("#"):
                continue
            name, _, value = line.rpartition(" ")
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


def total(sums: dict[str, float], name: str, label: str = "") -> float:
    """Sums a counter over all series that contain a label text."""
    prefix = f"anvilford_{name}_total"
    return sum(
        value
        for series, value in sums.items()
        if series.partition("{")[0] == prefix and label in series
    )


def wait_for_targets(site: Site) -> None:
    """Waits until every daemon knows all targets of the site.

    Raises:
        TimeoutError: A daemon still lacks targets after the limit.
    """
    end = time.monotonic() + LIST_LIMIT_S
    while time.monotonic() < end:
        # The operators' listener opens after the callers' one.
        with contextlib.suppress(urllib3.exceptions.HTTPError, ValueError):
            known = [
                len(
                    site.operator_request("GET", e, "/v1/targets").json()[
                        "targets"
                    ]
                )
                for e in site.entries
            ]
            if min(known) >= len(site.targets):
                return
        time.sleep(0.1)
    raise TimeoutError("a daemon does not know all targets")
