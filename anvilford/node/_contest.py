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

# Number of targets that a probe claims, or claims first. Another leader cannot use
# them until it has raised its own token, and loses their runs, so they are few.
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
# The same if the probe may have claimed all targets of the site, which costs the
# other leader up to a second.
SITE_PROBE_INTERVAL_S = 15.0


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
    """Claims targets, without changing their runs, until another leader shows.

    Args:
        targets: Targets that the member would lead.
        poll: Sends a poll to an address; the last argument is the timeout.
        fence: Token to claim them with.
        own_fence: Token with which this member led last; 0 if it has not led.
            Its own runs may not have ended yet, so that only those of higher
            tokens show another leader.
        watch_s: Seconds for which a few targets are watched; if it is 0, all
            are asked once, a few first.
    """
    probe = _Probe(poll, fence, own_fence)
    ends_at = clock.now() + watch_s
    left = random.sample(targets, len(targets))
    count = PROBED_TARGETS
    result = Contest.UNANSWERED
    while left:
        result = await probe.ask(left[:count])
        if result in (Contest.TAKEN, Contest.REFUSED):
            break
        if not watch_s:
            left = left[count:]
            count *= 2
        elif result is Contest.UNANSWERED or clock.now() >= ends_at:
            break
        else:
            await asyncio.sleep(PROBE_POLL_INTERVAL_S)
    if result is Contest.UNANSWERED and probe.owned and not watch_s:
        return Contest.FREE
    return result


class _Probe:
    """Polls of one probe.

    Attributes:
        owned: Ids of the targets that obey the token.
    """

    def __init__(self, poll: PollTarget, fence: int, own_fence: int):
        self.poll = poll
        self.fence = fence
        self.own_fence = own_fence
        self.owned: set[str] = set()

    async def ask(self, targets: Sequence[TargetRecord]) -> Contest:
        """Polls targets once; returns what their answers show together."""
        answers = await asyncio.gather(
            *(
                self.poll(
                    target.address,
                    _make_poll(target, self.fence),
                    PROBE_TIMEOUT_S,
                )
                for target in targets
            )
        )
        results = {
            self._judge(target.target_id, answer)
            for target, answer in zip(targets, answers, strict=True)
        }
        return next(
            result
            for result in (
                Contest.TAKEN,
                Contest.REFUSED,
                Contest.FREE,
                Contest.UNANSWERED,
            )
            if result in results
        )

    def _judge(self, target_id: str, answer: PollAnswer) -> Contest:
        match answer:
            case Report(running=running):
                self.owned.add(target_id)
                highest_own_run = (self.own_fence + 1) * RUNS_PER_FENCE
                if any(task.run > highest_own_run for task in running):
                    return Contest.TAKEN
                return Contest.FREE
            case Refused(Refusal.FENCE, _):
                is_owned = target_id in self.owned
                return Contest.TAKEN if is_owned else Contest.REFUSED
        return Contest.UNANSWERED


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
        self._interval_s = 0.0
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
        self._interval_s = (
            PROBE_INTERVAL_S if is_partial else SITE_PROBE_INTERVAL_S
        )
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
            self._due_at = clock.now() + self._interval_s
        return result

    def clear(self) -> None:
        """Forgets a loss, and ends a probe."""
        self.has_lost = False
        self._due_at = 0.0
        if self._task is not None:
            self._task.cancel()
            self._task = None
