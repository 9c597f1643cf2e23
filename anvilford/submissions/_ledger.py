"""Records of the submissions that one daemon process owns."""

import collections
import hashlib
import hmac

import attrs

from anvilford.model import Answer
from anvilford.model import Conflict
from anvilford.model import EncodedAnswer
from anvilford.model import Expired
from anvilford.model import Incarnation
from anvilford.model import NeverIssued
from anvilford.model import SubmissionId
from anvilford.model import UnknownId

TAG_HEX_DIGITS = 24
# Python objects of one record besides the answer's body, measured with
# sys.getsizeof over the record, its strings and its places in two mappings.
RECORD_OVERHEAD_BYTES = 700


@attrs.frozen
class RetentionLimits:
    """Bounds on finished records.

    Attributes:
        records: Most finished records kept.
        bytes: Most bytes held by them.
    """

    records: int = 20_000
    bytes: int = 64 * 1024 * 1024


@attrs.define
class Record:
    """One submission.

    Attributes:
        sequence: Sequence of its id.
        caller: Caller that the id was issued to.
        digest: Digest of the job; empty if the id was cancelled unused.
        answer: The final answer, or None while the job is in flight.
    """

    sequence: int
    caller: str
    digest: str
    answer: EncodedAnswer | None = None

    def retained_bytes(self) -> int:
        """Memory held by the record once it is finished."""
        return RECORD_OVERHEAD_BYTES + len(self.answer.body)


@attrs.frozen
class Accepted:
    """The record was created; the job must be dispatched now."""


@attrs.frozen
class InFlight:
    """The job is in flight; the requester waits for its answer."""


@attrs.frozen
class Finished:
    """The final answer is known."""

    answer: EncodedAnswer


@attrs.frozen
class Unsubmitted:
    """The id is valid and unused."""


@attrs.frozen
class Rejected:
    """The request cannot be served under this id."""

    answer: Answer


LookupResult = InFlight | Finished | Unsubmitted | Rejected
SubmissionResult = Accepted | InFlight | Finished | Rejected


def make_tag(tag_key: bytes, sequence: int, caller: str) -> str:
    """Computes the part of an id that binds it to its caller."""
    message = f"{sequence}\0{caller}".encode()
    digest = hmac.new(tag_key, message, hashlib.sha256).hexdigest()
    return digest[:TAG_HEX_DIGITS]


class RecordStore:
    """Records by sequence with bounded retention of the finished ones.

    Every evicted sequence lies below `floor`, so a sequence at or above the
    floor without a record was never submitted.

    Attributes:
        limits: Bounds on the finished records.
        floor: Sequences below it without a record are expired.
        next_sequence: First sequence that was not issued.
        retained_bytes: Bytes held by finished records.
    """

    def __init__(self, limits: RetentionLimits):
        self.limits = limits
        self.floor = 0
        self.next_sequence = 0
        self.retained_bytes = 0
        self.records: dict[int, Record] = {}
        self.finished_sequences: collections.deque[int] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Number of records without an answer."""
        return len(self.records) - len(self.finished_sequences)

    def lookup(self, sequence: int) -> LookupResult:
        """Tells what is known of a sequence."""
        record = self.records.get(sequence)
        if record is not None:
            if record.answer is None:
                return InFlight()
            return Finished(record.answer)
        if sequence >= self.next_sequence:
            return Rejected(NeverIssued())
        if sequence < self.floor:
            return Rejected(Expired())
        return Unsubmitted()

    def add(self, record: Record) -> None:
        """Adds a record; a finished one counts against the limits at once."""
        self.records[record.sequence] = record
        if record.answer is not None:
            self._retain_finished(record)

    def settle(self, sequence: int, answer: EncodedAnswer) -> None:
        """Stores the final answer of a record in flight."""
        record = self.records[sequence]
        assert record.answer is None
        record.answer = answer
        self._retain_finished(record)

    def _retain_finished(self, record: Record) -> None:
        """Counts a finished record and evicts the oldest over the limits."""
        self.finished_sequences.append(record.sequence)
        self.retained_bytes += record.retained_bytes()
        while self.finished_sequences and (
            len(self.finished_sequences) > self.limits.records
            or self.retained_bytes > self.limits.bytes
        ):
            evicted = self.records.pop(self.finished_sequences.popleft())
            self.retained_bytes -= evicted.retained_bytes()
            self.floor = max(self.floor, evicted.sequence + 1)

    def finished_records(self) -> list[Record]:
        """Finished records, oldest first."""
        return [self.records[sequence] for sequence in self.finished_sequences]


class Ledger:
    """Decides whether a submission may start under an id of this process.

    Attributes:
        owner: This daemon process.
        tag_key: Secret of this process for the tags of its ids.
        store: The records.
    """

    def __init__(
        self, owner: Incarnation, tag_key: bytes, limits: RetentionLimits
    ):
        self.owner = owner
        self.tag_key = tag_key
        self.store = RecordStore(limits)

    def issue(self, caller: str, count: int = 1) -> tuple[SubmissionId, ...]:
        """Issues ids to a caller; nothing is stored for them."""
        first = self.store.next_sequence
        self.store.next_sequence += count
        return tuple(
            SubmissionId(
                self.owner, number, make_tag(self.tag_key, number, caller)
            )
            for number in range(first, first + count)
        )

    def lookup(self, submission_id: SubmissionId, caller: str) -> LookupResult:
        """Tells what is known of an id owned by this process."""
        if not is_issued_to(submission_id, caller, self.tag_key):
            return Rejected(UnknownId())
        return self.store.lookup(submission_id.sequence)

    def submit(
        self, submission_id: SubmissionId, caller: str, digest: str
    ) -> SubmissionResult:
        """Creates the record of a submission unless there is one.

        Returns:
            `Accepted` exactly once for an id; only then may tasks start.
        """
        match self.lookup(submission_id, caller):
            case Unsubmitted():
                record = Record(submission_id.sequence, caller, digest)
                self.store.add(record)
                return Accepted()
            case Rejected() as rejected:
                return rejected
            case found:
                record = self.store.records[submission_id.sequence]
                if record.digest not in ("", digest):
                    return Rejected(Conflict())
                return found

    def close_unused(
        self, submission_id: SubmissionId, caller: str, answer: EncodedAnswer
    ) -> None:
        """Gives an unused id its final answer, so that it can never run."""
        record = Record(submission_id.sequence, caller, "", answer)
        self.store.add(record)

    def settle(self, sequence: int, answer: EncodedAnswer) -> None:
        """Stores the final answer of a submission in flight."""
        self.store.settle(sequence, answer)


def is_issued_to(
    submission_id: SubmissionId, caller: str, tag_key: bytes
) -> bool:
    """Tells whether the tag of an id was made for this caller."""
    expected = make_tag(tag_key, submission_id.sequence, caller)
    return hmac.compare_digest(
        expected.encode(), submission_id.tag.encode("utf-8", "replace")
    )
