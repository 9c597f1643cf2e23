"""Access to the row of the metadata store that names the leader."""

import asyncio
import json
import logging
import math

import attrs

from anvilford.leadership import FENCING_TOKENS_PER_TERM
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.platform import Conflict
from anvilford.platform import DECODE_ERRORS
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import Written
from anvilford.telemetry import Counters

STORE_TABLE = "anvilford"
LEADER_KEY = "leader"
# A slow store takes up to half a second to answer. The timeout may be long
# because no caller's request waits for the store.
STORE_TIMEOUT_S = 2.0
# A longer time without an answered call is a gap in what is known of the store.
# A member without a leader and a majority reads the row at least this often.
ROW_READ_GAP_S = 1.0

# Run numbers under the fencing tokens of higher terms do not fit into messages.
MAX_TERM = (1 << 58) // FENCING_TOKENS_PER_TERM

_logger = logging.getLogger(__name__)


def _decode_row(data: bytes) -> tuple[Leader, tuple[Member, ...]]:
    """Returns the leader and the members named in a row.

    Raises:
        Exception: One of `DECODE_ERRORS`, if the row is malformed.
    """
    value = json.loads(data)
    term = int(value["term"])
    if not 0 <= term <= MAX_TERM:
        raise ValueError("term out of range")
    return (
        Leader(term, _decode_member(value["leader"])),
        tuple(_decode_member(raw) for raw in value["members"]),
    )


def _decode_member(raw: dict) -> Member:
    cores = float(raw["cores"])
    if not math.isfinite(cores):
        raise ValueError("number of cores is not finite")
    return Member(
        *(str(raw[name]) for name in ("name", "zone", "address")),
        cores,
        str(raw["token"]),
    )


class LeaderRow:
    """Reads the leader's row, and writes it if it has not changed since.

    All attributes below `counters` are updated by `read` and `write`.

    Attributes:
        store: Client of the metadata store.
        counters: Receives the number of store calls.
        leader: Leader named in the row; None before the first read, if there
            is no row and if the row cannot be decoded.
        members: Members from which the leader received heartbeats when it
            wrote the row.
        has_been_read: Whether the store has ever answered with the content of
            the row or with the information that there is no row.
        version: Version of the row as last read or written; 0 if there is no
            row.
        changed_at: Time of `clock.now` at which the current version of the
            row was first seen; 0 before that.
        unchanged_since: Time of the answer since which calls showed the current
            version without a gap. A leader cannot write the row while the
            store is away, so a failed call also is a gap.
        seen_at: Time at which the last answered call was sent.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.store = store
        self.counters = counters
        self.leader: Leader | None = None
        self.members: tuple[Member, ...] = ()
        self.has_been_read = False
        self.version = 0
        self.changed_at = 0.0
        self.unchanged_since = 0.0
        self.seen_at = 0.0
        self._answered_at = -math.inf
        self._has_failed = False
        self._read_task: asyncio.Task[bool] | None = None

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered the last call that ended, and did so lately.

        A read that is still under way does not show that the store is away: a
        slow one takes longer than a search waits for it.
        """
        return (
            not self._has_failed
            and clock.now() - self._answered_at <= ROW_READ_GAP_S
        )

    @property
    def unchanged_s(self) -> float:
        """Seconds for which answered calls showed the row unchanged."""
        return self.seen_at - self.unchanged_since

    async def read(self, timeout: float = STORE_TIMEOUT_S) -> bool:
        """Reads the row.

        A read that takes longer than `timeout` goes on, and the next call joins
        it: a slow answer still shows that the store was not away.

        Args:
            timeout: Longest time to wait for the answer, in seconds.

        Returns:
            True if the store answered in time.
        """
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.ensure_future(self._read())
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(self._read_task)
        except TimeoutError:
            return False

    async def _read(self) -> bool:
        sent_at = clock.now()
        self.counters.increment("store_calls", call="read", table=STORE_TABLE)
        answer = await self.store.read(STORE_TABLE, STORE_TIMEOUT_S)
        self._record_answer(not isinstance(answer, StoreFailed), sent_at)
        if isinstance(answer, StoreFailed):
            return False
        self._update_from_rows(answer.rows)
        return True

    async def write(self, leader: Leader, members: tuple[Member, ...]) -> bool:
        """Writes the row if its version is still the one last seen.

        Args:
            leader: Leader to store.
            members: Members to store.

        Returns:
            True if the row names the given leader now. After a conflict, the
            attributes hold the row of the other writer.
        """
        value = json.dumps(
            {
                "term": leader.term,
                "leader": attrs.asdict(leader.member),
                "members": [attrs.asdict(member) for member in members],
            }
        ).encode()
        self.counters.increment("store_calls", call="write", table=STORE_TABLE)
        sent_at = clock.now()
        answer = await self.store.write(
            STORE_TABLE, LEADER_KEY, value, self.version, STORE_TIMEOUT_S
        )
        self._record_answer(not isinstance(answer, StoreFailed), sent_at)
        match answer:
            case Written(version):
                if version > self.version:
                    self.leader, self.members = leader, members
                    self._set_version(version)
                return True
            case Conflict(rows):
                self._update_from_rows(rows)
                # An earlier write of this process may have succeeded although
                # its answer was lost.
                return self.leader == leader
            case StoreFailed(reason):
                _logger.info(
                    "leader row not written to the store",
                    extra={"reason": reason},
                )
        return False

    def _record_answer(self, is_answered: bool, sent_at: float) -> None:
        """Records whether the store answered a call sent at a time."""
        now = clock.now()
        if is_answered:
            if self._has_failed or now - self._answered_at > ROW_READ_GAP_S:
                self.unchanged_since = now
            self._answered_at = now
            self.seen_at = sent_at
        self._has_failed = not is_answered

    def _update_from_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.has_been_read = True
        row = next((row for row in rows if row.key == LEADER_KEY), None)
        if row is None or row.version <= self.version:
            return
        try:
            self.leader, self.members = _decode_row(row.value)
        except DECODE_ERRORS as error:
            _logger.error(
                "leader row cannot be decoded; treating it as naming no leader",
                extra={"error": f"{type(error).__name__}: {error!s:.200}"},
            )
            self.leader, self.members = None, ()
        self._set_version(row.version)

    def _set_version(self, version: int) -> None:
        self.version = version
        self.changed_at = self.unchanged_since = clock.now()
