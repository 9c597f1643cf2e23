"""Sends jobs to entry daemons; measures outcomes and latency at the caller.

Example that also calls a target directly, for comparison:

    python -m benchmarks.load --entries 127.0.0.1:7000 --token T \
        --service line-brain --rate 100 --seconds 10 --target 127.0.0.1:7300

With `--rate`, arrivals are an open-loop Poisson process: they do not wait for
answers, and latency counts from the planned arrival. A stall therefore shows in
the latency of every job that arrived during it. With `--callers`, the loop is
closed: each caller waits for its answer before it sends the next job.
"""

import argparse
import asyncio
import contextlib
import datetime
import json
import sys
from collections.abc import Awaitable
from collections.abc import Callable

from benchmarks._http import ConnectionPool
from benchmarks._jobs import DirectLoad
from benchmarks._jobs import draw_job_plan
from benchmarks._jobs import EntryLoad
from benchmarks._jobs import JobPlan
from benchmarks._measures import added_latency
from benchmarks._measures import LoadStatistics
from benchmarks._measures import make_rng


def main(argv: list[str] | None = None) -> int:
    """Runs one measurement and prints its report as JSON.

    Returns:
        Exit status: 0, or 1 if a connection was reset, a request timed out, an
        answer was lost or wrong, or no submission id was issued.
    """
    arguments = parse_arguments(argv)
    report = asyncio.run(measure_load(arguments))
    text = json.dumps(report, indent=2)
    print(text)
    if arguments.report:
        with open(arguments.report, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    return 0 if report["entry"]["faultless"] else 1


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.load")
    parser.add_argument("--entries", required=True, help="IP:port[,IP:port]")
    parser.add_argument("--token", required=True, help="caller's bearer token")
    parser.add_argument("--service", required=True)
    parser.add_argument("--operation", default="load")
    arrivals = parser.add_mutually_exclusive_group(required=True)
    arrivals.add_argument("--rate", type=float, help="jobs per second")
    arrivals.add_argument(
        "--callers", type=int, help="callers that wait for answers"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tasks", type=int, default=1, help="tasks per job")
    parser.add_argument("--run-ms", type=float, default=50.0)
    parser.add_argument(
        "--long-share", type=float, default=0.0, help="share of long jobs"
    )
    parser.add_argument("--long-factor", type=float, default=30.0)
    parser.add_argument("--deadline-ms", type=int, default=2000)
    parser.add_argument(
        "--connections",
        type=int,
        default=64,
        help="number of connections to each entry and target",
    )
    parser.add_argument(
        "--window-seconds",
        type=float,
        default=60.0,
        help="length of the time windows of which the worst is reported",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--target", help="IP:port of a target called directly")
    parser.add_argument("--report", help="file for the report")
    return parser.parse_args(argv)


async def measure_load(arguments: argparse.Namespace) -> dict:
    """Generates the load on the entries and the target; returns the report.

    The report does not include the token.
    """
    started = datetime.datetime.now(datetime.UTC)
    deadline_ms = arguments.deadline_ms
    async with contextlib.AsyncExitStack() as stack:

        async def connect(address: str) -> ConnectionPool:
            connections = ConnectionPool(address, arguments.connections)
            await stack.enter_async_context(connections)
            await connections.open_all()
            return connections

        loads = {}
        entries = [await connect(a) for a in arguments.entries.split(",")]
        loads["entry"] = EntryLoad(
            entries,
            arguments.token,
            arguments.service,
            arguments.operation,
            deadline_ms,
            LoadStatistics(deadline_ms, arguments.window_seconds),
        )
        if arguments.target:
            loads["direct"] = DirectLoad(
                await connect(arguments.target),
                arguments.operation,
                deadline_ms,
                LoadStatistics(deadline_ms, arguments.window_seconds),
            )
        await asyncio.gather(
            *(
                generate_load(arguments, name, load.run)
                for name, load in loads.items()
            )
        )
    parameters = {k: v for k, v in vars(arguments).items() if k != "token"}
    report = {
        "started": started.isoformat(timespec="seconds"),
        "python": sys.version.split()[0],
        "parameters": parameters,
        **{name: load.report() for name, load in loads.items()},
    }
    if "direct" in loads:
        report["added_ms"] = added_latency(
            loads["entry"].statistics, loads["direct"].statistics
        )
    return report


RunJob = Callable[[JobPlan, float], Awaitable[None]]


async def generate_load(
    arguments: argparse.Namespace, name: str, run: RunJob
) -> None:
    """Starts jobs for the configured time and waits until all have ended.

    Args:
        arguments: Parsed command line.
        name: Name of the load. Arrivals depend only on the name and the seed.
        run: Runs one job, given its plan and its arrival in event-loop time.
    """
    rng = make_rng(arguments.seed, name)
    loop = asyncio.get_running_loop()
    start = loop.time()
    if arguments.rate is None:
        await asyncio.gather(
            *(
                _run_caller(arguments, f"{name}/{index}", run, start)
                for index in range(arguments.callers)
            )
        )
        return
    async with asyncio.TaskGroup() as jobs:
        arrival = start + rng.expovariate(arguments.rate)
        while arrival < start + arguments.seconds:
            await asyncio.sleep(arrival - loop.time())
            jobs.create_task(run(draw_job_plan(arguments, rng), arrival))
            arrival += rng.expovariate(arguments.rate)


async def _run_caller(
    arguments: argparse.Namespace, name: str, run: RunJob, start: float
) -> None:
    rng = make_rng(arguments.seed, name)
    loop = asyncio.get_running_loop()
    # Callers start at random times, since a simultaneous start would by itself
    # determine the p99 of a short run.
    await asyncio.sleep(rng.uniform(0, arguments.run_ms / 1000))
    while loop.time() < start + arguments.seconds:
        await run(draw_job_plan(arguments, rng), loop.time())


if __name__ == "__main__":
    sys.exit(main())
