"""Points and lines of the slope measurements."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs

from benchmarks.codec_slopes import fit_line


@attrs.frozen
class SizeSweep:
    """Quantities measured while one size varies.

    Attributes:
        name: Name of the measurement.
        varied: What a size counts.
        fixed: What was held constant.
        points: Measured values by quantity, for each size.
    """

    name: str
    varied: str
    fixed: str
    points: dict[int, dict[str, float]]

    def to_document(self) -> dict[str, Any]:
        """Makes the JSON object with the fitted lines."""
        sizes = tuple(self.points)
        lines = {}
        for quantity in self.points[sizes[0]]:
            values = [self.points[size][quantity] for size in sizes]
            # The fit is by relative errors, which need values above 0; a
            # constant needs no line.
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
    """Measures all sizes."""
    return SizeSweep(
        name, varied, fixed, {size: measure(size) for size in sizes}
    )


def print_sweep(document: dict[str, Any]) -> None:
    """Prints points and lines for people."""
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
