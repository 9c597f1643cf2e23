"""Measures bytes and time of the inner protocol's encoding against size.

Each message is encoded and decoded at several sizes, and a line is fitted to
bytes and to microseconds. The time of one size is the least of several rounds,
which is little affected by other load on the machine. Garbage collection stays
on, as it is in a daemon.

Usage: .venv/bin/python benchmarks/codec_slopes.py [--json] [--rounds N]
"""

import argparse
import functools
import json
import pathlib
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs
import numpy as np

# The checkout that holds this file, also when another one is installed.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from anvilford import protocol
from anvilford.model import Incarnation

ZONES = ("quimper-a", "quimper-b", "lorient-a", "vannes-a")
ROUND_DURATION_S = 0.02
GOSSIP_ENTRIES = 9


@attrs.frozen
class CodecCase:
    """One message against one measure of its size.

    Attributes:
        name: Message and what varies.
        unit: What a size counts.
        sizes: At least four, so that the residual says something.
        make: Makes the message of a size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    make: Callable[[int], protocol.Message]


@attrs.frozen
class Fit:
    """Least-squares line through the points of one quantity.

    Residuals are relative, because sizes span several orders of magnitude.

    Attributes:
        intercept: Value at size 0.
        slope: Increase per unit of size.
        residual_rms: Root mean square of the residuals, each as a share of
            the measured value.
        residual_worst: Largest of these shares.
    """

    intercept: float
    slope: float
    residual_rms: float
    residual_worst: float


def make_incarnation(number: int) -> Incarnation:
    """An entry daemon with an id of realistic length."""
    zone = ZONES[number % len(ZONES)]
    address = f"10.{number // 250}.0.{number % 250}:7100"
    return Incarnation(zone, address, f"{number:016x}")


def make_entries(count: int) -> tuple[protocol.EntryInfo, ...]:
    """Entries as they appear in gossip."""
    return tuple(
        protocol.EntryInfo(make_incarnation(n), 100_000 + n, 4.0, False, 1234)
        for n in range(count)
    )


def make_gossip_with_entries(count: int) -> protocol.Message:
    """A periodic round: heartbeats and a fingerprint."""
    return protocol.Gossip("10.0.0.1:7100", make_entries(count), bytes(16))


def make_gossip_with_vms(count: int) -> protocol.Message:
    """A full exchange after the fingerprints differed."""
    vms = tuple(
        protocol.VmInfo(
            f"vm-{n:08x}",
            protocol.VmRole.TARGET,
            ZONES[n % len(ZONES)],
            f"10.{n // 250}.1.{n % 250}:8080",
            "line-brain",
            protocol.VmState.LIVE,
        )
        for n in range(count)
    )
    return protocol.Gossip(
        "10.0.0.1:7100", make_entries(GOSSIP_ENTRIES), bytes(16), vms, full=True
    )


def make_load_report(count: int) -> protocol.Message:
    """Use of the targets of one zone."""
    in_use = {f"vm-{n:08x}": n % 8 for n in range(count)}
    return protocol.LoadReport(f"{1:016x}", 100_000, 250, in_use)


def make_forward_submission(count: int) -> protocol.Message:
    """A job of the given size."""
    return protocol.ForwardSubmission(
        f"quimper-a~10.0.0.1:7100~{1:016x}~123456~{1:032x}",
        "line-controller-7",
        protocol.RequestKind.SUBMIT,
        bytes(count),
        800,
        1,
        f"00-{1:032x}-{1:016x}-01",
    )


CASES = (
    CodecCase(
        "Gossip entries", "entry", (9, 50, 100, 200), make_gossip_with_entries
    ),
    CodecCase("Gossip VMs", "VM", (24, 500, 2000, 7100), make_gossip_with_vms),
    CodecCase("LoadReport", "target", (6, 24, 100, 500), make_load_report),
    CodecCase(
        "ForwardSubmission",
        "job byte",
        (200, 2000, 20_000, 200_000, 2_000_000),
        make_forward_submission,
    ),
)


@attrs.define
class Timing:
    """Time of one function at one size.

    Attributes:
        function: What is timed.
        calls: Calls per round.
        least_us: Microseconds per call in the fastest round.
    """

    function: Callable[[], Any]
    calls: int = 1
    min_us: float = float("inf")

    def run(self) -> None:
        """Runs one round."""
        started = time.perf_counter()
        for _ in range(self.calls):
            self.function()
        elapsed_us = (time.perf_counter() - started) * 1e6
        self.min_us = min(self.min_us, elapsed_us / self.calls)

    def choose_call_count(self) -> None:
        """Chooses the calls per round."""
        self.run()
        self.calls = max(1, int(ROUND_DURATION_S * 1e6 / self.min_us))


def fit_line(sizes: tuple[int, ...], values: list[float]) -> Fit:
    """Fits a line by relative errors; shapes (n,) and (n,)."""
    x, y = np.array(sizes), np.array(values)
    slope, intercept = np.polyfit(x, y, 1, w=1 / y)
    residuals = (intercept + slope * x) / y - 1
    return Fit(
        float(intercept),
        float(slope),
        float(np.sqrt(np.mean(residuals**2))),
        float(np.max(np.abs(residuals))),
    )


def measure(rounds: int) -> list[dict[str, Any]]:
    """Measures all messages at all their sizes."""
    frames: dict[tuple[str, int], bytes] = {}
    timings: dict[tuple[str, int, str], Timing] = {}
    for case in CASES:
        for size in case.sizes:
            envelope = protocol.Envelope(1, False, case.make(size))
            frame = protocol.encode(envelope)
            if protocol.decode(frame).ok != envelope:
                raise AssertionError(f"{case.name} {size}: codec changed it")
            frames[case.name, size] = frame
            for quantity, function in (
                ("encode_us", functools.partial(protocol.encode, envelope)),
                ("decode_us", functools.partial(protocol.decode, frame)),
            ):
                timings[case.name, size, quantity] = Timing(function)
    for timing in timings.values():
        timing.choose_call_count()
    # The sizes take turns, so that a busy moment of the machine doesn't slow
    # all rounds of one size.
    for _ in range(rounds):
        for timing in timings.values():
            timing.run()
    return [summarize(case, frames, timings) for case in CASES]


def summarize(
    case: CodecCase,
    frames: dict[tuple[str, int], bytes],
    timings: dict[tuple[str, int, str], Timing],
) -> dict[str, Any]:
    """Makes the JSON object of one message."""
    points = [
        {
            "size": size,
            "bytes": len(frames[case.name, size]),
            "encode_us": timings[case.name, size, "encode_us"].min_us,
            "decode_us": timings[case.name, size, "decode_us"].min_us,
        }
        for size in case.sizes
    ]
    fits = {
        quantity: attrs.asdict(
            fit_line(case.sizes, [p[quantity] for p in points])
        )
        for quantity in ("bytes", "encode_us", "decode_us")
    }
    return {
        "message": case.name,
        "unit": case.unit,
        "points": points,
        "fits": fits,
    }


def print_table(results: list[dict[str, Any]]) -> None:
    """Prints points and fits for people."""
    for result in results:
        print(f"{result['message']}, size in units of one {result['unit']}")
        print(f"{'size':>10} {'bytes':>10} {'encode us':>11} {'decode us':>11}")
        for point in result["points"]:
            print(
                f"{point['size']:>10} {point['bytes']:>10}"
                f" {point['encode_us']:>11.2f} {point['decode_us']:>11.2f}"
            )
        for quantity, line in result["fits"].items():
            print(
                f"  {quantity} = {line['intercept']:.2f}"
                f" + {line['slope']:.5f} * size, residual rms"
                f" {100 * line['residual_rms']:.1f}%,"
                f" worst {100 * line['residual_worst']:.1f}%"
            )
        print()


def main() -> int:
    """Measures all messages and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--rounds", type=int, default=20, help="rounds per point (20)"
    )
    arguments = parser.parse_args()
    protocol.require_acceleration()
    results = measure(arguments.rounds)
    if arguments.json:
        print(json.dumps(results, indent=2))
    else:
        print_table(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
