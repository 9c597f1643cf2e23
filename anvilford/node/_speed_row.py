"""The row of the store that keeps what leaders learned of targets' speeds."""

import json
import logging

from anvilford.node._leader_row import STORE_TABLE
from anvilford.node._leader_row import STORE_TIMEOUT_S
from anvilford.platform import Conflict
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import Written
from anvilford.telemetry import Counters

SPEEDS_KEY = "speeds"

_logger = logging.getLogger(__name__)


class SpeedRow:
    """Reads and writes the speeds; losing them costs accuracy only.

    Attributes:
        store: The store.
        counters: Receives counts.
        version: Version of the row as last seen; 0 if there is none.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.store = store
        self.counters = counters
        self.version = 0

    async def read(self) -> dict[str, float]:
        """Reads the speeds by target; empty if there are none."""
        self.counters.increment("store_calls", call="read", table=STORE_TABLE)
        answer = await self.store.read(STORE_TABLE, STORE_TIMEOUT_S)
        if isinstance(answer, StoreFailed):
            _logger.info("speeds not read", extra={"reason": answer.reason})
            return {}
        return self._update_from_rows(answer.rows)

    async def write(self, speeds: dict[str, float]) -> None:
        """Writes the speeds; the next try follows the version seen now."""
        self.counters.increment("store_calls", call="write", table=STORE_TABLE)
        answer = await self.store.write(
            STORE_TABLE,
            SPEEDS_KEY,
            json.dumps(speeds).encode(),
            self.version,
            STORE_TIMEOUT_S,
        )
        match answer:
            case Written(version):
                self.version = version
            case Conflict(rows):
                self._update_from_rows(rows)
            case StoreFailed(reason):
                _logger.info("speeds not written", extra={"reason": reason})

    def _update_from_rows(self, rows: tuple[StoreRow, ...]) -> dict[str, float]:
        row = next((row for row in rows if row.key == SPEEDS_KEY), None)
        if row is None:
            return {}
        self.version = row.version
        try:
            return {str(k): float(v) for k, v in json.loads(row.value).items()}
        except (ValueError, TypeError, AttributeError) as error:
            _logger.error("speeds malformed", extra={"error": repr(error)})
            return {}
