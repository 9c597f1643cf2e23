"""Runs an entry whose clocks are changed by signals, and whose links are cut.

SIGUSR1 simulates a suspension of the machine: the clock that the entry uses for
its decisions jumps forward, and no other clock does. SIGUSR2 steps the wall
clock, forward and backward in turn. SIGQUIT writes the stack to the log.
"""

import faulthandler
import itertools
import signal
import sys
import time

from anvilford.node import _clock as clock
from anvilford.node import main
from testkit.cuts import use_cut_loop

# Seconds by which each SIGUSR1 moves the clock for decisions forward.
SUSPENSION_S = 1.5
# Seconds by which each SIGUSR2 steps the wall clock; successive signals use the
# values in turn.
WALL_STEPS_S = (40.0, -70.0, 30.0)


def replace_clocks() -> None:
    """Replaces both clocks and installs the signal handlers that move them."""
    offsets = {"suspended": 0.0, "wall": 0.0}
    steps = itertools.cycle(WALL_STEPS_S)
    true_now, true_time = clock.now, time.time

    def suspend(*_: object) -> None:
        offsets["suspended"] += SUSPENSION_S

    def step(*_: object) -> None:
        offsets["wall"] += next(steps)

    clock.now = lambda: true_now() + offsets["suspended"]
    time.time = lambda: true_time() + offsets["wall"]
    signal.signal(signal.SIGUSR1, suspend)
    signal.signal(signal.SIGUSR2, step)


if __name__ == "__main__":
    faulthandler.register(signal.SIGQUIT)
    replace_clocks()
    use_cut_loop()
    sys.exit(main())
