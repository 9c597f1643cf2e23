"""An entry whose clocks are set from outside by signals.

SIGUSR1 makes the machine seem suspended for a while: the clock that decisions
use jumps, and nothing else does. SIGUSR2 steps the time of day, back and forth.
"""

import itertools
import signal
import sys
import time

from anvilford.node import _clock as clock
from anvilford.node._main import main

SUSPENSION_S = 1.5
WALL_STEPS_S = (40.0, -70.0, 30.0)


def replace_clocks() -> None:
    """Puts clocks in place that the signals move."""
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
    replace_clocks()
    sys.exit(main())
