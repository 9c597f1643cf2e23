"""Memory and processor time that the listeners of a process share."""

import asyncio
import collections
import time
import typing

from anvilford.http1._holding import choose_victims
from anvilford.http1._holding import Holding

DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024
DEFAULT_PROCESSOR_SHARE = 0.25
# Share of the budget that is left in use after connections were refused. Freeing
# more than the excess saves examining all connections with each read.
RELIEVED_SHARE = 0.875
# Part of the budget that messages of peers may take beyond it. Without their
# messages, an entry loses its leader.
PEER_HEADROOM = 0.25
# Processor time that requests may take at once, in seconds. Heartbeats must be
# answered within 0.25 s, on VMs that have less than half a core.
PROCESSOR_BURST_S = 0.02
# Longest time that turns take before other events are handled, in seconds.
TURN_S = 0.002


class RequestBudget:
    """Memory of all requests that are incomplete or not yet answered.

    Attributes:
        max_bytes: Memory that they may occupy, in bytes.
        held_bytes: Memory that they occupy.
        holdings: All open connections.
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.holdings: set[Holding] = set()

    def add(self, holding: Holding) -> None:
        """Counts a connection from now on."""
        self.holdings.add(holding)
        self.held_bytes += holding.held_bytes

    def remove(self, holding: Holding) -> None:
        """Counts a connection no longer; does nothing if it was not counted."""
        if holding in self.holdings:
            self.holdings.discard(holding)
            self.held_bytes -= holding.held_bytes

    def change(self, holding: Holding, held_bytes: int) -> None:
        """Sets the memory of a connection."""
        if holding in self.holdings:
            self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def is_exceeded(self) -> bool:
        """Returns whether more memory is held than the budget allows."""
        return self.held_bytes > self.max_bytes

    def relieve(self, now: float) -> None:
        """Refuses connections if the memory exceeds the budget."""
        if not self.is_exceeded():
            return
        excess = self.held_bytes - int(self.max_bytes * RELIEVED_SHARE)
        for holding in choose_victims(self.holdings, excess, now):
            holding.refuse("memory")

    def reserve(self, size: int) -> bool:
        """Counts memory for a message of a peer, and frees some if needed.

        Returns:
            False if there is none; nothing is counted then.
        """
        self.held_bytes += size
        self.relieve(time.monotonic())
        if self.held_bytes > self.max_bytes * (1 + PEER_HEADROOM):
            self.held_bytes -= size
            return False
        return True

    def release(self, size: int) -> None:
        """Counts memory that was reserved no longer."""
        self.held_bytes -= size


class ProcessorShare:
    """Account of the processor time of incomplete requests.

    Attributes:
        share: Part of the time that they may take.
        burst_s: Time that they may take at once, in seconds.
    """

    def __init__(self, share: float, burst_s: float = PROCESSOR_BURST_S):
        self.share = share
        self.burst_s = burst_s
        self._debt_s = 0.0
        self._updated_at = 0.0

    def charge(self, seconds: float, now: float) -> None:
        """Adds time that was taken until now."""
        self._debt_s = self.debt_s(now) + seconds
        self._updated_at = now

    def debt_s(self, now: float) -> float:
        """Returns the time that was taken beyond the share, in seconds."""
        paid = (now - self._updated_at) * self.share
        return max(self._debt_s - paid, 0.0)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until more time may be taken; 0 if now."""
        return max(self.debt_s(now) - self.burst_s, 0.0) / self.share


class Reader(typing.Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Handles a bounded slice of the data that was received."""


class ReadingTurns:
    """Lets connections with costly requests read one after the other.

    Attributes:
        processor: Account of the time that incomplete requests take.
    """

    def __init__(self, share: float = DEFAULT_PROCESSOR_SHARE):
        self.processor = ProcessorShare(share)
        # Those that are still within the size of an ordinary request go first.
        self._fresh: collections.deque[Reader] = collections.deque()
        self._costly: collections.deque[Reader] = collections.deque()
        self._is_lone = False
        self._timer: asyncio.Handle | None = None

    def is_exhausted(self) -> bool:
        """Returns whether requests have to wait for processor time."""
        return self.processor.wait_s(time.monotonic()) > 0

    def charge(self, seconds: float) -> None:
        """Adds time that was taken to parse a slice.

        While one connection alone has costly data, it may take all the time
        that other events leave: a request within the limits is not to be late
        under calm conditions.
        """
        if self._is_lone:
            seconds *= self.processor.share
        self.processor.charge(seconds, time.monotonic())

    def add(self, reader: Reader, is_fresh: bool) -> None:
        """Queues a connection for one turn."""
        (self._fresh if is_fresh else self._costly).append(reader)
        if self._timer is None:
            self._schedule()

    def close(self) -> None:
        """Ends all turns."""
        if self._timer is not None:
            self._timer.cancel()
        self._fresh.clear()
        self._costly.clear()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        wait_s = self.processor.wait_s(time.monotonic())
        if wait_s > 0:
            self._timer = loop.call_later(wait_s, self._run)
        else:
            self._timer = loop.call_soon(self._run)

    def _run(self) -> None:
        self._timer = None
        end = time.monotonic() + TURN_S
        while (self._fresh or self._costly) and not self.is_exhausted():
            queue = self._fresh or self._costly
            reader = queue.popleft()
            self._is_lone = not self._fresh and not self._costly
            reader.take_turn()
            self._is_lone = False
            if time.monotonic() > end:
                break
        if self._timer is None and (self._fresh or self._costly):
            self._schedule()
