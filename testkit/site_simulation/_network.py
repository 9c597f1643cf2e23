"""Paths between machines, which can be cut or hold bytes back."""

import asyncio
import collections
import enum
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from testkit.site_simulation._loop import call_outside

# Time after which the kernel drops a connection whose data is not acknowledged
# (`PEER_LIMITS.unacknowledged_timeout_s`).
UNACKNOWLEDGED_TIMEOUT_S = 2.0


class Block(enum.Enum):
    """Why a path delivers nothing.

    Attributes:
        CUT: Packets are dropped. The kernel repeats them for some time.
        HELD: Bytes are acknowledged, and delivered when the block ends.
    """

    CUT = "cut"
    HELD = "held"


@attrs.define
class _Path:
    """One direction between two machines.

    Attributes:
        delay_s: Time that bytes need, in seconds.
        blocks: Blocks in force by their numbers.
        waiting: Deliveries that wait for the end of the blocks, with the time
            at which they were sent, whether they are dropped if the kernel gives
            up, and what is called then.
        last_arrival: Arrival of the bytes that were sent last.
    """

    delay_s: float
    blocks: dict[int, Block] = attrs.field(factory=dict)
    waiting: list[tuple[float, bool, Callable, Callable]] = attrs.field(
        factory=list
    )
    last_arrival: float = 0.0


class Network:
    """All paths between entries and targets.

    Attributes:
        rng: Determines the delays.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self._paths: dict[tuple[str, str], _Path] = collections.defaultdict(
            lambda: _Path(self.rng.uniform(0.0002, 0.002))
        )
        self._numbers = itertools.count()

    def is_open(self, source: str, destination: str) -> bool:
        """Returns whether bytes of one machine reach another one now."""
        return not self._paths[source, destination].blocks

    def delay_s(self, source: str, destination: str) -> float:
        """Returns the delay of an open path, in seconds."""
        return self._paths[source, destination].delay_s

    def send(
        self,
        source: str,
        destination: str,
        deliver: Callable[[], None],
        give_up: Callable[[], None] = lambda: None,
    ) -> None:
        """Sends bytes, which arrive in order.

        Args:
            source: Machine that sends them.
            destination: Machine that receives them.
            deliver: Called when they arrive.
            give_up: Called if the kernel stops repeating them.
        """
        path = self._paths[source, destination]
        if path.blocks:
            is_dropped = Block.CUT in path.blocks.values()
            now = asyncio.get_running_loop().time()
            path.waiting.append((now, is_dropped, deliver, give_up))
            if is_dropped:
                call_outside(UNACKNOWLEDGED_TIMEOUT_S, self._drop_old, path)
            return
        self._deliver_later(path, deliver, path.delay_s)

    def _deliver_later(
        self, path: _Path, deliver: Callable[[], None], delay_s: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        path.last_arrival = max(now + delay_s, path.last_arrival + 1e-6)
        call_outside(path.last_arrival - now, deliver)

    def _drop_old(self, path: _Path) -> None:
        """Drops bytes that were sent into a cut and not acknowledged."""
        now = asyncio.get_running_loop().time()
        kept = []
        for item in path.waiting:
            sent_at, is_dropped, _, give_up = item
            if is_dropped and now - sent_at >= UNACKNOWLEDGED_TIMEOUT_S - 1e-6:
                give_up()
            else:
                kept.append(item)
        path.waiting = kept

    def block(
        self, pairs: Iterable[tuple[str, str]], kind: Block
    ) -> Callable[[], None]:
        """Blocks paths.

        Args:
            pairs: Sources and destinations.
            kind: What happens to the bytes.

        Returns:
            Function that ends the block.
        """
        number = next(self._numbers)
        paths = [self._paths[pair] for pair in pairs]
        for path in paths:
            path.blocks[number] = kind

        def end() -> None:
            for path in paths:
                del path.blocks[number]
                if not path.blocks:
                    self._release(path)

        return end

    def _release(self, path: _Path) -> None:
        """Delivers the bytes that waited; cut ones with the next repetition."""
        waiting, path.waiting = path.waiting, []
        now = asyncio.get_running_loop().time()
        for sent_at, is_dropped, deliver, _ in waiting:
            # The pause between repetitions grows with the age of the bytes.
            longest = 0.2 + (now - sent_at) if is_dropped else 0.01
            self._deliver_later(
                path, deliver, path.delay_s + self.rng.uniform(0.0, longest)
            )
