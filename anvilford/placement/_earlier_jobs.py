"""What a placer remembers of jobs that are not in progress there.

Callers send a job again seconds after a broken connection or status 504. The
memory decides whether such a job is answered with its known outcome, counts as
one that may run elsewhere, or must not be refused any more.
"""

from collections.abc import Callable
from typing import Any

import attrs

from anvilford.placement._model import CancelResult
from anvilford.placement._model import Offer
from anvilford.placement._model import Outcome

# How long outcomes are kept, to answer requests that callers repeat seconds
# after the answer.
OUTCOME_RETENTION_S = 20.0
# Most cancelled jobs without an outcome that are remembered; the oldest are
# dropped first. Callers may cancel ids that never existed, as often as they like;
# an id takes about 250 bytes.
MAX_CANCELLED_JOBS = 2000


@attrs.frozen
class ExpectedOffer:
    """A job that another entry may offer as new, although it may run.

    Attributes:
        until: Time by which its runs have ended, in seconds.
        placed: Ids of targets that may run it.
        placed_is_known: Whether no others may.
    """

    until: float
    placed: tuple[str, ...] = ()
    placed_is_known: bool = False


class EarlierJobs:
    """Remembers jobs that have ended, or that another placer may run.

    Times are in seconds of the owner's clock.

    Attributes:
        outcomes: Time and outcome of recently ended jobs by id, oldest first.
    """

    def __init__(self):
        self.outcomes: dict[str, tuple[float, Outcome]] = {}
        # End of jobs that ended as lost after tasks had started, by id.
        self._lost: dict[str, float] = {}
        # Jobs that callers may send again to other entries, by id.
        self._expected: dict[str, ExpectedOffer] = {}
        # Time at which jobs that are not in progress were cancelled, by id.
        self._cancelled: dict[str, float] = {}

    def known_outcome(self, job_id: str) -> Outcome | None:
        """Returns the outcome of a job that has ended; None if unknown."""
        known = self.outcomes.get(job_id)
        return None if known is None else known[1]

    def record_outcome(self, job_id: str, outcome: Outcome, now: float) -> None:
        """Records the final outcome of a job."""
        self.outcomes[job_id] = (now, outcome)

    def record_lost(self, job_id: str, now: float) -> None:
        """Records that a job ended as lost after tasks had started."""
        # Inserted last, since the oldest ones are dropped first.
        self._lost.pop(job_id, None)
        self._lost[job_id] = now

    def was_lost(self, job_id: str) -> bool:
        """Returns whether a job lately ended as lost after tasks had started."""
        return job_id in self._lost

    def cancel(self, job_id: str, now: float) -> CancelResult:
        """Records that a job which is not in progress here is cancelled.

        Returns:
            `CANCELED` if it ended for that reason, else `ENDED` or `UNKNOWN`.
        """
        outcome = self.known_outcome(job_id)
        if outcome is not None:
            is_canceled = outcome.is_canceled
            return CancelResult.CANCELED if is_canceled else CancelResult.ENDED
        # Inserted last, since the oldest ones are dropped first.
        self._cancelled.pop(job_id, None)
        self._cancelled[job_id] = now
        if len(self._cancelled) > MAX_CANCELLED_JOBS:
            del self._cancelled[next(iter(self._cancelled))]
        return CancelResult.UNKNOWN

    def is_cancelled(self, job_id: str) -> bool:
        """Returns whether a job was cancelled before it was offered."""
        return job_id in self._cancelled

    def expect_offer(self, job_id: str, expected: ExpectedOffer) -> None:
        """Records that a job may be offered as new although it may run."""
        # Inserted last, since the oldest ones are dropped first.
        self._expected.pop(job_id, None)
        self._expected[job_id] = expected

    def expected_targets(self, job_id: str) -> tuple[str, ...]:
        """Returns the targets that may run an expected job, as far as known."""
        expected = self._expected.get(job_id)
        return expected.placed if expected else ()

    def recognize_repeated(self, offer: Offer, now: float) -> Offer:
        """Returns an offer, marked as repeated if the job may run elsewhere."""
        expected = self._expected.get(offer.job_id)
        if offer.again or expected is None or now >= expected.until:
            return offer
        return attrs.evolve(
            offer,
            again=True,
            placed=expected.placed,
            placed_is_known=expected.placed_is_known,
        )

    def drop_old(self, now: float) -> None:
        """Drops what is too old to matter."""
        oldest = now - OUTCOME_RETENTION_S
        _drop_first(self._expected, lambda known: known.until <= now)
        _drop_first(self.outcomes, lambda known: known[0] <= oldest)
        _drop_first(self._lost, lambda ended_at: ended_at <= oldest)
        _drop_first(self._cancelled, lambda at: at <= oldest)


def _drop_first(entries: dict, is_old: Callable[[Any], bool]) -> None:
    """Removes the first entries of a dictionary, up to one that is not old."""
    while entries:
        key = next(iter(entries))
        if not is_old(entries[key]):
            return
        del entries[key]
