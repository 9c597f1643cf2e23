"""Access to the row of the metadata store that holds target speeds."""

import json
import logging
import math

from anvilford.node._leader_row import STORE_TABLE
from anvilford.node._leader_row import STORE_TIMEOUT_S
from anvilford.platform import Conflict
from anvilford.platform import DECODE_ERRORS
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import Written
from anvilford.telemetry import Counters

SPEEDS_KEY = "speeds"

_logger = logging.getLogger(__name__)


class SpeedRow:
    """Reads and writes the target speeds measured by the leader.

    A new leader starts with the speeds of its predecessor. If they are lost,
    only the accuracy of its estimates suffers until it has measured the speeds
    itself.

    Attributes:
        store: Client of the metadata store.
        counters: Receives the number of store calls.
        version: Version of the row as last seen; 0 if there is no row.
    """

    def __init__(self, store: StoreClient, counters: Counters):
        self.store = store
        self.counters = counters
        self.version = 0

    async def read(self) -> dict[str, float]:
        """Reads the speeds.

        Returns:
            Speeds by target; empty if there is no row, if the store does not
            answer and if the row cannot be decoded.
        """
        self.counters.increment("store_calls", call="read", table=STORE_TABLE)
        answer = await self.store.read(STORE_TABLE, STORE_TIMEOUT_S)
        if isinstance(answer, StoreFailed):
            _logger.info(
                "target speeds not read from the store",
                extra={"reason": answer.reason},
            )
            return {}
        return self._update_from_rows(answer.rows)

    async def write(self, speeds: dict[str, float]) -> None:
        """Writes the speeds if the row's version is still the one last seen.

        After a conflict nothing is written; the version that was found is
        kept, so that the next call can succeed.

        Args:
            speeds: Speeds by target.
        """
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
                _logger.info(
                    "target speeds not written to the store",
                    extra={"reason": reason},
                )

    def _update_from_rows(self, rows: tuple[StoreRow, ...]) -> dict[str, float]:
        row = next((row for row in rows if row.key == SPEEDS_KEY), None)
        if row is None:
            return {}
        self.version = row.version
        try:
            speeds = {
                str(key): float(value)
                for key, value in json.loads(row.value).items()
            }
        except DECODE_ERRORS as error:
            _logger.error(
                "row of target speeds cannot be decoded; ignoring it",
                extra={"error": f"{type(error).__name__}: {error!s:.200}"},
            )
            return {}
        return {
            key: speed for key, speed in speeds.items() if math.isfinite(speed)
        }
