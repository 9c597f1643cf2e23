"""Measures when the process of the soak stood still, and what entries did."""

import asyncio
import contextlib
import pathlib
import time

import attrs

# Interval at which the event loop notes that it runs, and the delay of a note from
# which the loop stood still. Beside other tests, notes are up to 0.05 s late.
NOTE_INTERVAL_S = 0.02
STALL_S = 0.1
NANOSECONDS_PER_S = 1e9


class StallRecorder:
    """Records when the event loop stood still; an async context manager.

    The loop carries the store, the targets and the proxies. An entry that waits
    for them meanwhile is not late.

    Attributes:
        stalls: Monotonic start and end of each time.
    """

    def __init__(self):
        self.stalls: list[tuple[float, float]] = []
        self._noted_at = time.monotonic()
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "StallRecorder":
        self._noted_at = time.monotonic()
        self._task = asyncio.ensure_future(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(NOTE_INTERVAL_S)
            self._note()

    def _note(self) -> None:
        now = time.monotonic()
        due_at = self._noted_at + NOTE_INTERVAL_S
        if now - due_at >= STALL_S:
            self.stalls.append((due_at, now))
        self._noted_at = now

    def stalled_s(self, since: float) -> float:
        """Returns for how many seconds the loop has stood still since a time."""
        if self._task is not None:
            # A stall that ends now is not noted yet.
            self._note()
        return sum(
            max(end - max(start, since), 0) for start, end in self.stalls
        )


@attrs.frozen
class ProcessSample:
    """What a process has done since its start, by its main thread.

    Attributes:
        pid: Its id.
        state: State letter of the kernel: R runs or waits for a processor, S
            sleeps, T is suspended, Z has ended.
        ran_s: Time on a processor in seconds.
        queued_s: Time for which it waited for a processor in seconds.
    """

    pid: int
    state: str
    ran_s: float
    queued_s: float


def sample_process(pid: int) -> ProcessSample | None:
    """Returns what a process has done; None if it does not exist any more."""
    folder = pathlib.Path("/proc", str(pid))
    try:
        stat = (folder / "stat").read_text(encoding="utf-8", errors="replace")
        times = (folder / "schedstat").read_text(encoding="utf-8").split()
    except OSError:
        return None
    ran_ns, queued_ns = int(times[0]), int(times[1])
    return ProcessSample(
        pid,
        stat.rpartition(")")[2].split()[0],
        ran_ns / NANOSECONDS_PER_S,
        queued_ns / NANOSECONDS_PER_S,
    )


def describe_process(
    before: ProcessSample | None, after: ProcessSample | None
) -> str:
    """Describes what a process did between two samples."""
    if after is None:
        return "its process does not exist"
    if before is None or before.pid != after.pid:
        return f"its process is another one than before, state {after.state}"
    return (
        f"its process is in state {after.state}; it ran for"
        f" {after.ran_s - before.ran_s:.2f} s and waited for a processor for"
        f" {after.queued_s - before.queued_s:.2f} s"
    )
