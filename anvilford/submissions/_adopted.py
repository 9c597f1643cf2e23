"""Finished submissions taken over from daemons that stopped."""

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

CHUNK_BYTES = 512 * 1024


@attrs.define
class AdoptedOwner:
    """Records of one stopped daemon.

    Attributes:
        owner: The stopped daemon.
        store: Its finished records.
        seal: The message that completed the handover, or None before it.
    """

    owner: Incarnation
    store: RecordStore
    seal: HandoverSeal | None = None


class AdoptedRecords:
    """Outcomes of stopped daemons that this daemon answers for.

    Attributes:
        limits: Bounds on the records of each stopped daemon; the bytes also
            bound all of them together.
        max_owners: Stopped daemons kept; the oldest is dropped first.
        owners: Adopted daemons by incarnation token, oldest first.
    """

    def __init__(self, limits: RetentionLimits, max_owners: int = 64):
        self.limits = limits
        self.max_owners = max_owners
        self.owners: dict[str, AdoptedOwner] = {}

    def adopt_chunk(self, chunk: HandoverChunk) -> None:
        """Adds finished records; records already present are left alone."""
        store = self._owner(chunk.owner).store
        for item in chunk.records:
            if item.sequence not in store.records and (
                item.sequence >= store.floor
            ):
                store.add(
                    Record(item.sequence, item.caller, item.digest, item.answer)
                )
        # Daemons are replaced many times a day, and each of them could bring
        # as many bytes as one is allowed to keep.
        while len(self.owners) > 1 and (
            self.retained_bytes > self.limits.bytes
        ):
            del self.owners[next(iter(self.owners))]

    @property
    def retained_bytes(self) -> int:
        """Bytes held for all stopped daemons."""
        return sum(o.store.retained_bytes for o in self.owners.values())

    def adopt_seal(self, seal: HandoverSeal) -> None:
        """Completes a handover."""
        adopted = self._owner(seal.owner)
        adopted.store.floor = max(adopted.store.floor, seal.floor)
        adopted.store.next_sequence = max(
            adopted.store.next_sequence, seal.next_sequence
        )
        adopted.seal = seal

    def answer(
        self, submission_id: SubmissionId, caller: str, digest: str
    ) -> Answer | Finished | None:
        """Answers for an id of a stopped daemon.

        Args:
            submission_id: The id.
            caller: Authenticated caller.
            digest: Digest of the submitted job; empty for other requests.

        Returns:
            The answer, or None if the owner's records are not held here.
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

    def _owner(self, owner: Incarnation) -> AdoptedOwner:
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
    """Splits finished records into messages of about `CHUNK_BYTES`."""
    chunks = []
    batch: list[HandoverRecord] = []
    size = 0
    for record in store.finished_records():
        batch.append(
            HandoverRecord(
                record.sequence, record.caller, record.digest, record.answer
            )
        )
        size += len(record.answer.body)
        if size >= CHUNK_BYTES:
            chunks.append(HandoverChunk(owner, tuple(batch)))
            batch, size = [], 0
    if batch:
        chunks.append(HandoverChunk(owner, tuple(batch)))
    return chunks
