"""Measures how the cost of the peer protocol's codec grows with message size.

Each message is encoded and decoded at several sizes, and lines are fitted to
the bytes and to the microseconds. The time at one size is the minimum over
several rounds, since other load on the machine hardly affects the minimum.
Garbage collection stays on, as it is in a daemon.

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

# Imports from the checkout that holds this file, even if another is installed.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from anvilford import protocol
from anvilford.model import Incarnation

ZONES = ("quimper-a", "quimper-b", "lorient-a", "vannes-a")
ROUND_DURATION_S = 0.02
GOSSIP_ENTRIES = 9


@attrs.frozen
class CodecCase:
    """One message whose size varies in one respect.

    Attributes:
        name: Name of the message and, if needed, of its part that varies.
        unit: Item that a size counts.
        sizes: Sizes to measure. A line through fewer than four points would
            leave too few residuals to judge the fit.
        make: Returns the message of the given size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    make: Callable[[int], protocol.Message]


@attrs.frozen
class Fit:
    """Line fitted to the points of one quantity by least squares.

    Residuals are relative because sizes span several orders of magnitude.

    Attributes:
        intercept: Value at size 0.
        slope: Increase per unit of size.
        residual_rms: Root mean square of the residuals, each relative to the
            measured value.
        residual_worst: Largest absolute relative residual.
    """

    intercept: float
    slope: float
    residual_rms: float
    residual_worst: float


def make_incarnation(number: int) -> Incarnation:
    """Returns an incarnation whose address and token have real lengths."""
    zone = ZONES[number % len(ZONES)]
    address = f"10.{number // 250}.0.{number % 250}:7100"
    return Incarnation(zone, address, f"{number:016x}")


def make_entries(count: int) -> tuple[protocol.EntryInfo, ...]:
    """Returns the gossip records of entries with heartbeats."""
    return tuple(
        protocol.EntryInfo(make_incarnation(n), 100_000 + n, 4.0, False, 1234)
        for n in range(count)
    )


def make_gossip_with_entries(count: int) -> protocol.Message:
    """Returns a periodic gossip message: heartbeats and a fingerprint."""
    return protocol.Gossip("10.0.0.1:7100", make_entries(count), bytes(16))


def make_gossip_with_vms(count: int) -> protocol.Message:
    """Returns a full gossip message, as sent when fingerprints differ."""
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
    """Returns a report of the slots in use at the targets of one zone."""
    in_use = {f"vm-{n:08x}": n % 8 for n in range(count)}
    return protocol.LoadReport(f"{1:016x}", 100_000, 250, in_use)


def make_forward_submission(count: int) -> protocol.Message:
    """Returns a forwarded submission with a job of the given size in bytes."""
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
    """Timing of one function at one message size.

    Attributes:
        function: Function to time.
        calls: Number of calls in a round, set by `choose_call_count`.
        min_us: Microseconds per call in the fastest round so far.
    """

    function: Callable[[], Any]
    calls: int = 1
    min_us: float = float("inf")

    def run(self) -> None:
        """Runs one round and updates the minimum."""
        started = time.perf_counter()
        for _ in range(self.calls):
            self.function()
        elapsed_us = (time.perf_counter() - started) * 1e6
        self.min_us = min(self.min_us, elapsed_us / self.calls)

    def choose_call_count(self) -> None:
        """Sets the calls per round so that a round takes `ROUND_DURATION_S`."""
        self.run()
        self.calls = max(1, int(ROUND_DURATION_S * 1e6 / self.min_us))


def fit_line(sizes: tuple[int, ...], values: list[float]) -> Fit:
    """Fits a line that minimizes the squared relative errors.

    Args:
        sizes: Sizes, shape (n,).
        values: Measured values greater than 0, shape (n,).
    """
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
    """Measures all messages at all their sizes.

    Args:
        rounds: Timing rounds for each message, size and function.

    Returns:
        One JSON object for each message.

    Raises:
        AssertionError: A decoded message differs from the encoded one.
    """
    frames: dict[tuple[str, int], bytes] = {}
    timings: dict[tuple[str, int, str], Timing] = {}
    for case in CASES:
        for size in case.sizes:
            envelope = protocol.Envelope(1, False, case.make(size))
            frame = protocol.encode(envelope)
            if protocol.decode(frame).ok != envelope:
                raise AssertionError(
                    f"{case.name} of size {size} differs after decoding"
                )
            frames[case.name, size] = frame
            for quantity, function in (
                ("encode_us", functools.partial(protocol.encode, envelope)),
                ("decode_us", functools.partial(protocol.decode, frame)),
            ):
                timings[case.name, size, quantity] = Timing(function)
    for timing in timings.values():
        timing.choose_call_count()
    # Each round covers all sizes, so that a short load peak on the machine does
    # not slow all rounds of one size.
    for _ in range(rounds):
        for timing in timings.values():
            timing.run()
    return [summarize(case, frames, timings) for case in CASES]


def summarize(
    case: CodecCase,
    frames: dict[tuple[str, int], bytes],
    timings: dict[tuple[str, int, str], Timing],
) -> dict[str, Any]:
    """Returns the points and fitted lines of one message as a JSON object."""
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
    """Prints the points and fitted lines as text."""
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
    """Measures all messages and prints the results; returns 0."""
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
