"""Randomized soak test of real entry processes with injected faults."""

from testkit.soak._run import run_seed
from testkit.soak._run import SoakOptions
from testkit.soak._run import SoakReport

__all__ = ["SoakOptions", "SoakReport", "run_seed"]
