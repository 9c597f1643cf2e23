"""Whether another leader is at work on targets that this member would claim.

A member that leads without a majority cannot ask the others. Targets do not say
who controls them, and refuse a lower fencing token for ever, also when its
leader is gone. What shows another leader at work now is a run that it started,
which lives only as long as its leader extends the lease, or that it takes a
target back.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from anvilford.node import _clock as clock
from anvilford.placement import Poll
from anvilford.placement import PollAnswer
from anvilford.placement import Refusal
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import RUNS_PER_FENCE
from anvilford.placement import TargetRecord

# Number of targets that a probe claims. Another leader cannot use them until it
# has raised its own token, and loses their runs, so they are few.
PROBED_TARGETS = 3
PROBE_TIMEOUT_S = 0.1
# Pause between two polls of the same target in one probe.
PROBE_POLL_INTERVAL_S = 0.2
# Duration of the probe of a member that has lost targets. The other leader
# takes them back a second after it has tried to use one (`FENCE_RAISE_DELAY_S`);
# a target of a busy site is tried within the rest.
PROBE_WATCH_S = 2.0
# Time for which runs go on at most after their leader was cut off from their target.
RUNS_END_AFTER_S = 1.2
# Time after the start of a probe for which its result may be used. Searches that
# use it may pause, as while a leader that announced itself is called.
PROBE_VALID_S = PROBE_WATCH_S + 1.0
# Time after a probe that found another leader until the next one. The other one
# may be cut off from the targets at any time, and the members here have no
# leader then; each probe costs it some runs.
PROBE_INTERVAL_S = 5.0


class Contest(enum.StrEnum):
    """What a probe of the targets has shown.

    Attributes:
        FREE: No other leader is at work.
        TAKEN: Another leader is.
        REFUSED: A target had obeyed a higher token before. Its leader may be
            gone; a probe with a higher term shows it.
        UNANSWERED: No target has answered.
    """

    FREE = "free"
    TAKEN = "taken"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


PollTarget = Callable[[str, Poll, float], Awaitable[PollAnswer]]


async def probe_targets(
    targets: Sequence[TargetRecord],
    poll: PollTarget,
    fence: int,
    own_fence: int,
    watch_s: float,
) -> Contest:
    """Claims a few targets, without changing their runs, and watches them.

    Args:
        targets: Targets of which some are claimed.
        poll: Sends a poll to an address; the last argument is the timeout.
        fence: Token to claim them with.
        own_fence: Token with which this member led last; 0 if it has not led.
            Its own runs may not have ended yet, so that only those of higher
            tokens show another leader.
        watch_s: Seconds for which the targets are watched; 0 for one poll.
    """
    sample = random.sample(targets, min(PROBED_TARGETS, len(targets)))
    ends_at = clock.now() + watch_s
    owned: set[str] = set()
    while True:
        answers = await asyncio.gather(
            *(
                poll(target.address, _make_poll(target, fence), PROBE_TIMEOUT_S)
                for target in sample
            )
        )
        is_refused = False
        for target, answer in zip(sample, answers, strict=True):
            match answer:
                case Report(running=running):
                    if any(
                        task.run > (own_fence + 1) * RUNS_PER_FENCE
                        for task in running
                    ):
                        return Contest.TAKEN
                    owned.add(target.target_id)
                case Refused(Refusal.FENCE, _):
                    if target.target_id in owned:
                        return Contest.TAKEN
                    is_refused = True
        if is_refused:
            return Contest.REFUSED
        if not owned:
            return Contest.UNANSWERED
        if clock.now() >= ends_at:
            return Contest.FREE
        await asyncio.sleep(PROBE_POLL_INTERVAL_S)


def _make_poll(target: TargetRecord, fence: int) -> Poll:
    return Poll(
        target.target_id, target.incarnation, fence, None, 0, 0, clock.now()
    )


class ContestCheck:
    """Lets a member without a majority lead only uncontested targets.

    Attributes:
        probe: Probes the targets that this member would lead. Arguments are
            the token, the token with which it led last, whether it would lead
            only its zone, and the time to watch in seconds.
        led_fence: Token with which this member led last.
        has_lost: Whether it has led and lost targets to another leader since
            it last followed one or held a majority.
    """

    def __init__(
        self, probe: Callable[[int, int, bool, float], Awaitable[Contest]]
    ):
        self.probe = probe
        self.led_fence = 0
        self.has_lost = False
        self._due_at = 0.0
        self._started_at = 0.0
        self._task: asyncio.Task[Contest] | None = None

    def record_loss(self) -> None:
        """Records that targets which this member led obey another leader.

        If that one is cut off right after it took them, its runs show it until
        their leases end, so that the first probe waits for that.
        """
        if not self.has_lost:
            self.has_lost = True
            self._due_at = clock.now() + RUNS_END_AFTER_S

    @property
    def is_due(self) -> bool:
        """Whether the next probe may begin: none is under way."""
        return self._task is None and clock.now() >= self._due_at

    def start(self, fence: int, is_partial: bool) -> None:
        """Starts a probe with a token."""
        watch_s = PROBE_WATCH_S if self.has_lost else 0.0
        self._started_at = clock.now()
        self._task = asyncio.ensure_future(
            self.probe(fence, self.led_fence, is_partial, watch_s)
        )

    async def wait(self, seconds: float) -> Contest | None:
        """Waits for the probe; returns its result, or None if it goes on.

        Args:
            seconds: Longest time to wait.
        """
        if self._task is None:
            await asyncio.sleep(seconds)
            return None
        await asyncio.wait({self._task}, timeout=seconds)
        if not self._task.done():
            return None
        task, self._task = self._task, None
        if clock.now() - self._started_at > PROBE_VALID_S:
            return None
        result = task.result()
        if result is Contest.TAKEN:
            self._due_at = clock.now() + PROBE_INTERVAL_S
        return result

    def clear(self) -> None:
        """Forgets a loss, and ends a probe."""
        self.has_lost = False
        self._due_at = 0.0
        if self._task is not None:
            self._task.cancel()
            self._task = None
