"""Randomized soak test of real entry processes with injected faults."""

from testkit.soak._checks import SoakReport
from testkit.soak._run import run_seed
from testkit.soak._run import SoakOptions

__all__ = ["SoakOptions", "SoakReport", "run_seed"]
