"""Finished records handed over by daemons that have stopped."""

import attrs

from anvilford.model import Answer
from anvilford.model import Conflict
from anvilford.model import Incarnation
from anvilford.model import NotRun
from anvilford.model import OutcomeUnknown
from anvilford.model import RefusalReason
from anvilford.model import SubmissionId
from anvilford.model import UnknownId
from anvilford.model import UnknownReason
from anvilford.protocol import HandoverChunk
from anvilford.protocol import HandoverRecord
from anvilford.protocol import HandoverSeal
from anvilford.submissions._ledger import Finished
from anvilford.submissions._ledger import InFlight
from anvilford.submissions._ledger import is_issued_to
from anvilford.submissions._ledger import Record
from anvilford.submissions._ledger import RecordStore
from anvilford.submissions._ledger import Rejected
from anvilford.submissions._ledger import RetentionLimits
from anvilford.submissions._ledger import Unsubmitted

# A handover message is closed once its answers reach this size.
CHUNK_BYTES = 512 * 1024


@attrs.define
class AdoptedOwner:
    """Records handed over by one stopped daemon.

    Attributes:
        owner: Incarnation of the stopped daemon.
        store: The finished records received so far.
        seal: The message that ends the handover; None until it arrives.
    """

    owner: Incarnation
    store: RecordStore
    seal: HandoverSeal | None = None


class AdoptedRecords:
    """Records of stopped daemons for whose submission ids this daemon answers.

    Attributes:
        limits: Limits for the records of each stopped daemon. The limit in
            bytes also applies to the records of all of them together.
        max_owners: Maximum number of stopped daemons whose records are kept.
            The records of the oldest are dropped first.
        owners: Records by incarnation token of the stopped daemon, oldest
            first.
    """

    def __init__(self, limits: RetentionLimits, max_owners: int = 64):
        self.limits = limits
        self.max_owners = max_owners
        self.owners: dict[str, AdoptedOwner] = {}

    def adopt_chunk(self, chunk: HandoverChunk) -> None:
        """Adds the finished records of a handover message.

        Records that are already present or were evicted are skipped, so a
        repeated message has no effect.
        """
        store = self._get_or_add_owner(chunk.owner).store
        for item in chunk.records:
            if item.sequence not in store.records and (
                item.sequence >= store.floor
            ):
                store.add(
                    Record(item.sequence, item.caller, item.digest, item.answer)
                )
        # Daemons are replaced many times a day, and each may hand over as many
        # bytes as the limit allows. So the limit also applies to the total.
        while len(self.owners) > 1 and (
            self.retained_bytes > self.limits.max_bytes
        ):
            del self.owners[next(iter(self.owners))]

    @property
    def retained_bytes(self) -> int:
        """Memory held by the records of all stopped daemons, in bytes."""
        return sum(o.store.retained_bytes for o in self.owners.values())

    def adopt_seal(self, seal: HandoverSeal) -> None:
        """Applies the message that ends a handover.

        From then on the records are complete if `seal.complete` is set.
        """
        adopted = self._get_or_add_owner(seal.owner)
        adopted.store.floor = max(adopted.store.floor, seal.floor)
        adopted.store.next_sequence = max(
            adopted.store.next_sequence, seal.next_sequence
        )
        adopted.seal = seal

    def answer(
        self, submission_id: SubmissionId, caller: str, digest: str
    ) -> Answer | Finished | None:
        """Answers a request for a submission id of a stopped daemon.

        "Not run" is answered only if the handover was complete. With records
        missing, the outcome of an id without a record is unknown.

        Args:
            submission_id: The id.
            caller: Authenticated caller of the request.
            digest: Digest of the submitted job; empty if the request is not a
                submission.

        Returns:
            The answer, or None if this daemon holds no records of the owner.
        """
        adopted = self.owners.get(submission_id.owner.token)
        if adopted is None or adopted.owner != submission_id.owner:
            return None
        if adopted.seal is None:
            return OutcomeUnknown(UnknownReason.HANDOVER_INCOMPLETE)
        if not is_issued_to(submission_id, caller, adopted.seal.tag_key):
            return UnknownId()
        match adopted.store.lookup(submission_id.sequence):
            case Finished() as finished:
                record = adopted.store.records[submission_id.sequence]
                if digest and record.digest not in ("", digest):
                    return Conflict()
                return finished
            case Rejected(answer):
                return answer
            case Unsubmitted() if adopted.seal.complete:
                return NotRun(RefusalReason.OWNER_STOPPED)
            case Unsubmitted() | InFlight():
                return OutcomeUnknown(UnknownReason.HANDOVER_INCOMPLETE)

    def _get_or_add_owner(self, owner: Incarnation) -> AdoptedOwner:
        """Returns an owner's records; drops the oldest owners to make room."""
        adopted = self.owners.get(owner.token)
        if adopted is None:
            while len(self.owners) >= self.max_owners:
                del self.owners[next(iter(self.owners))]
            adopted = AdoptedOwner(owner, RecordStore(self.limits))
            self.owners[owner.token] = adopted
        return adopted


def handover_chunks(
    owner: Incarnation, store: RecordStore
) -> list[HandoverChunk]:
    """Splits finished records into handover messages.

    Args:
        owner: The daemon that owns the records.
        store: Its records.

    Returns:
        Messages with answers of about `CHUNK_BYTES` each, oldest record first.
    """
    chunks = []
    batch: list[HandoverRecord] = []
    answer_bytes = 0
    for record in store.finished_records():
        batch.append(
            HandoverRecord(
                record.sequence, record.caller, record.digest, record.answer
            )
        )
        answer_bytes += len(record.answer.body)
        if answer_bytes >= CHUNK_BYTES:
            chunks.append(HandoverChunk(owner, tuple(batch)))
            batch, answer_bytes = [], 0
    if batch:
        chunks.append(HandoverChunk(owner, tuple(batch)))
    return chunks
