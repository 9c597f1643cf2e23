"""The row of the store that names the leader and its members."""

import json
import logging

import attrs

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.platform import Conflict
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import Written
from anvilford.telemetry import Counters

STORE_TABLE = "anvilford"
LEADER_KEY = "leader"
# A slow store takes up to half a second; nothing on the path of a request
# waits for it.
STORE_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


class LeaderRow:
    """Reads the row and writes it if it is as last read.

    Attributes:
        store: The store.
        counters: Receives counts.
        leader: Who the row names; None before the first read.
        members: Members that the leader heard when it wrote the row.
        is_known: Whether the row, or that there is none, was ever read.
        version: Version of the row; 0 if there is none.
        changed_at: When a change was first seen here.
        reaches_store: Whether the last call had an answer.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.store = store
        self.counters = counters
        self.leader: Leader | None = None
        self.members: tuple[Member, ...] = ()
        self.has_been_read = False
        self.version = 0
        self.changed_at = 0.0
        self.store_reachable = False

    async def read(self, timeout: float = STORE_TIMEOUT_S) -> bool:
        """Reads the row; False if the store did not answer."""
        self.counters.increment("store_calls", call="read", table=STORE_TABLE)
        answer = await self.store.read(STORE_TABLE, timeout)
        self.store_reachable = not isinstance(answer, StoreFailed)
        if isinstance(answer, StoreFailed):
            return False
        self._update_from_rows(answer.rows)
        return True

    async def write(self, leader: Leader, members: tuple[Member, ...]) -> bool:
        """Writes the row unless it has changed; False if it was not written."""
        value = json.dumps(
            {
                "term": leader.term,
                "leader": attrs.asdict(leader.member),
                "members": [attrs.asdict(member) for member in members],
            }
        ).encode()
        self.counters.increment("store_calls", call="write", table=STORE_TABLE)
        answer = await self.store.write(
            STORE_TABLE, LEADER_KEY, value, self.version, STORE_TIMEOUT_S
        )
        self.store_reachable = not isinstance(answer, StoreFailed)
        match answer:
            case Written(version):
                if version > self.version:
                    self.leader, self.members = leader, members
                    self.version = version
                    self.changed_at = clock.now()
                return True
            case Conflict(rows):
                self._update_from_rows(rows)
                # An earlier write of ours may have lost its answer.
                return self.leader == leader
            case StoreFailed(reason):
                _logger.info("leader row not written", extra={"reason": reason})
        return False

    def _update_from_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.has_been_read = True
        row = next((row for row in rows if row.key == LEADER_KEY), None)
        if row is None or row.version <= self.version:
            return
        try:
            value = json.loads(row.value)
            self.leader = Leader(int(value["term"]), Member(**value["leader"]))
            self.members = tuple(Member(**m) for m in value["members"])
        except (ValueError, TypeError, KeyError) as error:
            _logger.error("leader row malformed", extra={"error": repr(error)})
            self.leader, self.members = None, ()
        self.version = row.version
        self.changed_at = clock.now()
