"""Who may start the tasks of a job, and until when its runs may last.

A task never has two runs at once, whatever leaders there are, because the
permission to run a job passes from hand to hand and each hand lets go of it
before the next one can have it:

1. The caller gives it to one entry at a time. The entry has it while the
   caller's connection is open, and at most until the caller's deadline. The
   caller turns to another entry `PlacementOptions.resubmit_pause` later. An
   entry that reads a request late counts the deadline from the earliest time at
   which it may have arrived.
2. The entry gives it to one leader at a time. An offer or a heartbeat names the
   last answer of the leader that the entry has received, and so proves that the
   entry followed the leader at the time of that answer, however late it
   arrives. The permission ends `permission_lifetime` after the latest proof, and
   with a heartbeat or withdrawal that says so. A message that is read after a later
   heartbeat of its entry gives none.
   An entry that turns to another leader says that the job may have runs, and
   that leader starts it only after that time. It starts it earlier only if the
   other leader has released the job and named its targets, and all of these have
   shown since what they run.
3. The leader gives it to targets, as leases. No lease that it grants ends later
   than `permission_lifetime` after the oldest proof that it goes by. It takes no
   offer with an older proof.

So every run of a job ends `permission_lifetime` after its entry last had the
permission, and that is before the caller gives it to another entry. The proof
needs no knowledge of other leaders, of the store, of the list of targets or of
what other entries have: it holds for each process by its own clock.

A job whose caller is gone may take longer than the caller's pause. It goes on
(`Placer.limit_leases`) only while every known entry is proved to follow this
leader and to have been told of the job since. An entry that leaves then has
left after it knew the job, and its next leader lets the job wait as a repeated
one for `permission_lifetime`; by then the runs here have ended, since their
leases are bound to the proof of that entry as well.
"""

import math
from collections.abc import Container
from collections.abc import Iterable

# An entry has no permission left to give once its last proof is this old: its
# jobs are stopped, which targets confirm within milliseconds, well before the
# leases have to end.
PROOF_TIMEOUT_S = 0.7


# Age up to which an entry offers jobs by an answer of the leader. Leases always
# leave room for such an offer. Heartbeats are sent twice as often.
ANSWER_AGE_S = 0.35
# Age up to which a leader takes such an offer. A target may have the lease of
# another leader, which ends up to `permission_lifetime` less `ANSWER_AGE_S` after it
# was claimed, and so before the caller's pause after the proof is over.
OFFER_AGE_S = 0.4


class EntryPermissions:
    """When each entry is last proved to have followed this leader.

    Entries whose proof is older than `PROOF_TIMEOUT_S` have no permission, and
    their jobs must have been stopped. Times are in seconds.

    Attributes:
        oldest: Time of the oldest proof that this leader goes by. It never
            decreases.
    """

    def __init__(self):
        self.oldest = -math.inf
        self._followed_at: dict[str, float] = {}

    def reset(self, entries: Iterable[str], now: float) -> None:
        """Starts with the time from which the local process leads.

        No answer of an earlier time proves anything.
        """
        self.oldest = now
        self._followed_at = dict.fromkeys(entries, now)

    def __contains__(self, entry: str) -> bool:
        return entry in self._followed_at

    def proof(self, entry: str) -> float:
        """Returns the time of an entry's last proof; minus infinity for none."""
        return self._followed_at.get(entry, -math.inf)

    def renew(self, entry: str, followed_at: float, now: float) -> None:
        """Applies the proof of a heartbeat.

        A heartbeat also tells which jobs have lost their callers before, so that
        it gives permission for the others.

        Args:
            entry: Name of the entry.
            followed_at: Time after which the entry sent the message.
            now: Current time.
        """
        if now - followed_at > PROOF_TIMEOUT_S or followed_at < self.oldest:
            return
        known = self._followed_at.get(entry, followed_at)
        self._followed_at[entry] = max(followed_at, known)

    def admit(self, entry: str, followed_at: float, now: float) -> bool:
        """Returns whether the proof of an offer gives permission for its job.

        It says nothing of the other jobs of the entry, and renews no permission.

        Args:
            entry: Name of the entry.
            followed_at: Time after which the entry sent the offer.
            now: Current time.
        """
        if now - followed_at > OFFER_AGE_S or followed_at < self.oldest:
            return False
        self._followed_at.setdefault(entry, followed_at)
        return True

    def withdraw(self, entry: str) -> None:
        """Ends the permission of an entry whose process has ended."""
        self._followed_at.pop(entry, None)

    def expire(self, live: Container[str], now: float) -> None:
        """Removes the entries that are silent or whose last proof is too old.

        Args:
            live: Names of the entries that are not silent.
            now: Current time.
        """
        self._followed_at = {
            entry: at
            for entry, at in self._followed_at.items()
            if entry in live and now - at <= PROOF_TIMEOUT_S
        }
        proofs = self._followed_at.values()
        self.oldest = max(self.oldest, min((now - ANSWER_AGE_S, *proofs)))
