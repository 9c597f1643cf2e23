"""Measured points of `benchmarks.slopes` and the lines fitted to them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs

from benchmarks.codec_slopes import fit_line


@attrs.frozen
class SizeSweep:
    """Values that were measured while one size varied.

    Attributes:
        name: Name of the measurement.
        varied: Description of the size, such as "tasks in a job".
        fixed: Description of the conditions that stayed constant.
        points: Measured values by name of the quantity, for each size.
    """

    name: str
    varied: str
    fixed: str
    points: dict[int, dict[str, float]]

    def to_document(self) -> dict[str, Any]:
        """Returns the points and fitted lines as a JSON object."""
        sizes = tuple(self.points)
        lines = {}
        for quantity in self.points[sizes[0]]:
            values = [self.points[size][quantity] for size in sizes]
            # Relative errors need values above 0, and a constant quantity
            # needs no line.
            if min(values) > 0 and max(values) > 1.000001 * min(values):
                lines[quantity] = attrs.asdict(fit_line(sizes, values))
        return {
            "name": self.name,
            "varied": self.varied,
            "fixed": self.fixed,
            "range": [min(sizes), max(sizes)],
            "points": {str(k): v for k, v in self.points.items()},
            "fits": lines,
        }


def run_sweep(
    name: str,
    varied: str,
    fixed: str,
    sizes: Iterable[int],
    measure: Callable[[int], dict[str, float]],
) -> SizeSweep:
    """Measures each size in turn.

    Args:
        name: Name of the measurement.
        varied: Description of the size.
        fixed: Description of the conditions that stay constant.
        sizes: Sizes to measure.
        measure: Returns the values by name of the quantity for one size.
    """
    return SizeSweep(
        name, varied, fixed, {size: measure(size) for size in sizes}
    )


def print_sweep(document: dict[str, Any]) -> None:
    """Prints the points and fitted lines of `SizeSweep.to_document` as text."""
    print(f"{document['name']}: {document['varied']}; {document['fixed']}")
    for size, values in document["points"].items():
        text = "  ".join(f"{k} {_format_number(v)}" for k, v in values.items())
        print(f"  {size:>7}: {text}")
    low, high = document["range"]
    for quantity, line in document["fits"].items():
        print(
            f"  {quantity} = {_format_number(line['intercept'])}"
            f" + {_format_number(line['slope'])} * size, residual rms"
            f" {100 * line['residual_rms']:.1f}%, worst"
            f" {100 * line['residual_worst']:.1f}%, range {low} to {high}"
        )
    print(flush=True)


def _format_number(value: float) -> str:
    return f"{value:.4g}" if abs(value) < 10_000 else f"{value:.0f}"
