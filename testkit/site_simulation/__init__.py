"""Simulates a whole site, with the real code of the entries, on a virtual clock.

Events are drawn from a seed, and overlap: cuts, held bytes, suspensions, kills,
a store that turns entries away, targets that leave or crash, late orders. No task
may ever have two runs at the same time.
"""

from testkit.site_simulation._run import Options
from testkit.site_simulation._run import simulate
from testkit.site_simulation._run import SimulationReport

__all__ = ["Options", "SimulationReport", "simulate"]
