"""Event loop on a virtual clock whose processes can be held up or killed."""

import asyncio
import contextvars
import heapq
import itertools
import selectors

# Time at which a simulation begins. A time of 0 means "never" to the entries.
START_TIME_S = 1000.0
# Time that each iteration of the loop takes at least. Without it, a wait that is
# shorter than the resolution of the clock would be repeated forever.
ITERATION_S = 1e-6


class SimulatedProcess:
    """A process of which the loop runs callbacks only while it is scheduled.

    Attributes:
        name: Name of the machine.
        is_suspended: True while its callbacks are held back.
        is_dead: True once it was killed; its callbacks run only once the
            simulation is over.
        held: Callbacks that do not run now, in order.
        context: Context of the callbacks that belong to it.
    """

    def __init__(self, name: str):
        self.name = name
        self.is_suspended = False
        self.is_dead = False
        self.held: list[asyncio.Handle] = []
        self.context = contextvars.Context()
        self.context.run(CURRENT_PROCESS.set, self)


# The process to which the running callback belongs; None for the network, the
# store, the targets and the callers.
CURRENT_PROCESS: contextvars.ContextVar[SimulatedProcess | None] = (
    contextvars.ContextVar("CURRENT_PROCESS", default=None)
)


def _may_run(handle: asyncio.Handle) -> bool:
    """Returns whether a callback may run; holds it back if it has to wait."""
    process = handle._context.get(CURRENT_PROCESS)
    if process is None:
        return True
    if process.is_dead or process.is_suspended:
        process.held.append(handle)
        return False
    return True


class _Handle(asyncio.Handle):
    __slots__ = ()

    def _run(self):
        if _may_run(self):
            super()._run()


class _TimerHandle(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self):
        if _may_run(self):
            super()._run()


class _Task(asyncio.Task):
    """Task whose place in a set does not depend on its address."""

    _numbers = itertools.count()

    def __init__(self, *args, **kwargs):
        self._number = next(self._numbers)
        super().__init__(*args, **kwargs)

    def __hash__(self) -> int:
        return hash(self._number)


class _InstantSelector(selectors.SelectSelector):
    """Selector that moves the virtual clock on instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout=None):
        """Moves the clock on by the timeout; there are no file events."""
        if timeout is None:
            raise RuntimeError("nothing is left to happen in the simulation")
        self.loop.virtual_time += max(timeout, ITERATION_S)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when nothing is ready.

    Attributes:
        virtual_time: Present time, in seconds.
    """

    def __init__(self):
        self.virtual_time = START_TIME_S
        selector = _InstantSelector()
        selector.loop = self
        super().__init__(selector)
        self.set_task_factory(
            lambda loop, coroutine, **options: _Task(
                coroutine, loop=loop, **options
            )
        )

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual_time

    def call_at(self, when, callback, *args, context=None):
        """As the base method, with a timer that a suspension holds back."""
        timer = _TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def _call_soon(self, callback, args, context):
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def resume(self, process: SimulatedProcess) -> None:
        """Runs a process again; callbacks that were held back come first."""
        process.is_dead = process.is_suspended = False
        self._ready.extend(process.held)
        process.held.clear()


# Context of everything that does not belong to a process.
_OUTSIDE = contextvars.Context()


def call_outside(delay_s: float, callback, *args) -> asyncio.TimerHandle:
    """Calls a function after a delay, whatever happens to this process."""
    return asyncio.get_running_loop().call_later(
        delay_s, callback, *args, context=_OUTSIDE
    )


def run_outside(coroutine) -> asyncio.Task:
    """Starts a task that belongs to no process."""
    return asyncio.get_running_loop().create_task(
        coroutine, context=_OUTSIDE.copy()
    )


def call_inside(process: SimulatedProcess, callback, *args) -> None:
    """Calls a function of a process as soon as it is scheduled.

    What is meant for a killed process is lost.
    """
    if process.is_dead:
        return
    asyncio.get_running_loop().call_soon(
        callback, *args, context=process.context
    )
