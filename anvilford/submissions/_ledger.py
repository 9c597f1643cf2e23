"""Records of the submissions that one daemon process owns.

A submission id consists of the owning daemon, a sequence number and a tag. The
tag is a message authentication code that binds the id to the caller it was
issued to.
"""

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

# Length of the tag in an id; 24 hexadecimal digits are 96 bits.
TAG_HEX_DIGITS = 24
# Memory of a finished record without the body of its answer: the sizes reported
# by `sys.getsizeof` for the record, its strings and its entries in two
# containers.
RECORD_OVERHEAD_BYTES = 700


@attrs.frozen
class RetentionLimits:
    """Limits on the finished records that are kept.

    Attributes:
        max_records: Maximum number of finished records.
        max_bytes: Maximum memory of finished records, in bytes.
    """

    max_records: int = 20_000
    max_bytes: int = 64 * 1024 * 1024


@attrs.define
class Record:
    """Record of one submission id that was submitted or cancelled.

    Attributes:
        sequence: Sequence number of the id.
        caller: Caller that the id was issued to.
        digest: Digest of the submitted job; empty if the id was cancelled
            before any job was submitted with it.
        answer: The final answer; None while the job is in flight. The ledger
            sets it once, when the job ends.
    """

    sequence: int
    caller: str
    digest: str
    answer: EncodedAnswer | None = None

    def retained_bytes(self) -> int:
        """Returns the memory held by the finished record, in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.answer.body)


@attrs.frozen
class Accepted:
    """The submission is new and recorded; its job must be dispatched now."""


@attrs.frozen
class InFlight:
    """The job was dispatched before and has no final answer yet."""


@attrs.frozen
class Finished:
    """The final answer is known.

    Attributes:
        answer: The final answer, encoded for the caller.
    """

    answer: EncodedAnswer


@attrs.frozen
class Unsubmitted:
    """The id was issued, but no job was submitted with it."""


@attrs.frozen
class Rejected:
    """The request is rejected: its id is not valid for it.

    Attributes:
        answer: Answer for the caller, with the reason.
    """

    answer: Answer


LookupResult = InFlight | Finished | Unsubmitted | Rejected
SubmissionResult = Accepted | InFlight | Finished | Rejected


def make_tag(tag_key: bytes, sequence: int, caller: str) -> str:
    """Computes the tag that binds a submission id to a caller.

    Args:
        tag_key: Secret of the daemon that issued the id.
        sequence: Sequence number of the id.
        caller: Caller that the id is issued to.

    Returns:
        The first `TAG_HEX_DIGITS` hexadecimal digits of the HMAC-SHA256.
    """
    message = f"{sequence}\0{caller}".encode()
    digest = hmac.new(tag_key, message, hashlib.sha256).hexdigest()
    return digest[:TAG_HEX_DIGITS]


class RecordStore:
    """Records by sequence number, with a limit on finished records.

    Finished records are evicted in the order in which they finished. The floor
    then rises above the evicted sequence number. So a sequence number at or
    above the floor without a record was never submitted.

    Attributes:
        limits: Limits on the finished records.
        floor: Sequence numbers below it that have no record are expired.
        next_sequence: Smallest sequence number that was not issued yet.
        retained_bytes: Memory of the finished records, in bytes.
        records: All records by sequence number.
        finished_sequences: Sequence numbers of the finished records, in the
            order in which they finished.
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
        """Number of records without a final answer."""
        return len(self.records) - len(self.finished_sequences)

    def lookup(self, sequence: int) -> LookupResult:
        """Returns the state of a sequence number."""
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
        """Adds a record. A finished one may evict others or itself."""
        self.records[record.sequence] = record
        if record.answer is not None:
            self._retain_finished(record)

    def settle(self, sequence: int, answer: EncodedAnswer) -> None:
        """Stores the final answer of a record that is in flight."""
        record = self.records[sequence]
        assert record.answer is None
        record.answer = answer
        self._retain_finished(record)

    def _retain_finished(self, record: Record) -> None:
        """Applies the limits to a record that has just finished.

        The records that finished first are evicted until the limits are met.
        """
        self.finished_sequences.append(record.sequence)
        self.retained_bytes += record.retained_bytes()
        while self.finished_sequences and (
            len(self.finished_sequences) > self.limits.max_records
            or self.retained_bytes > self.limits.max_bytes
        ):
            evicted = self.records.pop(self.finished_sequences.popleft())
            self.retained_bytes -= evicted.retained_bytes()
            self.floor = max(self.floor, evicted.sequence + 1)

    def finished_records(self) -> list[Record]:
        """Returns the finished records in the order in which they finished."""
        return [self.records[sequence] for sequence in self.finished_sequences]


class Ledger:
    """Issues submission ids and decides whether a submission may start.

    It makes each id of this daemon process start at most one job.

    Attributes:
        owner: Incarnation of this daemon process.
        tag_key: Secret of this process from which the tags of ids are computed.
        store: Records of the submissions.
    """

    def __init__(
        self, owner: Incarnation, tag_key: bytes, limits: RetentionLimits
    ):
        self.owner = owner
        self.tag_key = tag_key
        self.store = RecordStore(limits)

    def issue(self, caller: str, count: int = 1) -> tuple[SubmissionId, ...]:
        """Issues submission ids to a caller.

        No record is stored until an id is used: the tag and the next sequence
        number suffice to recognize the id.

        Args:
            caller: Authenticated caller.
            count: Number of ids.
        """
        first = self.store.next_sequence
        self.store.next_sequence += count
        return tuple(
            SubmissionId(
                self.owner, number, make_tag(self.tag_key, number, caller)
            )
            for number in range(first, first + count)
        )

    def lookup(self, submission_id: SubmissionId, caller: str) -> LookupResult:
        """Returns the state of an id that this process owns."""
        if not is_issued_to(submission_id, caller, self.tag_key):
            return Rejected(UnknownId())
        return self.store.lookup(submission_id.sequence)

    def submit(
        self, submission_id: SubmissionId, caller: str, digest: str
    ) -> SubmissionResult:
        """Records a submission unless its id was used before.

        Args:
            submission_id: An id that this process owns.
            caller: Authenticated caller of the request.
            digest: Digest of the submitted job.

        Returns:
            `Accepted` at most once for each id; only then may tasks start.
            `Rejected` with `Conflict` if the id was used for another job.
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
        """Stores a final answer for an unused id, so that it can never run.

        Args:
            submission_id: An id that was issued but not submitted.
            caller: Caller that the id was issued to.
            answer: Answer to any later submission with the id.
        """
        record = Record(submission_id.sequence, caller, "", answer)
        self.store.add(record)

    def settle(self, sequence: int, answer: EncodedAnswer) -> None:
        """Stores the final answer of a submission that is in flight."""
        self.store.settle(sequence, answer)


def is_issued_to(
    submission_id: SubmissionId, caller: str, tag_key: bytes
) -> bool:
    """Returns whether a submission id was issued to a caller.

    Args:
        submission_id: The id, as the request states it.
        caller: Authenticated caller of the request.
        tag_key: Secret of the daemon that owns the id.
    """
    expected = make_tag(tag_key, submission_id.sequence, caller)
    return hmac.compare_digest(
        expected.encode(), submission_id.tag.encode("utf-8", "replace")
    )
