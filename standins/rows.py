"""Test double of the platform's metadata store: rows, transactions, feeds.

It speaks the platform's HTTP protocol, so that tests run the real client.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import attrs

from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.http1 import Response

# Largest number of changes in one answer of a feed.
MAX_FEED_ROWS = 500


@attrs.define
class StoreFaults:
    """Faults of the store that tests can switch on.

    Attributes:
        is_down: Every call is answered with 503.
        is_silent: No call is answered.
        delay_s: Delay of every answer in seconds.
        unanswered_writes: Number of further writes that take effect but are
            not answered; each such write reduces it.
        has_no_history: Feeds are answered with 410, as if the requested
            versions had been discarded.
    """

    is_down: bool = False
    is_silent: bool = False
    delay_s: float = 0.0
    unanswered_writes: int = 0
    has_no_history: bool = False


@attrs.frozen
class _Row:
    value: str
    version: int
    deleted: bool = False


class RowStore:
    """Serves rows from memory; an async context manager.

    Attributes:
        address: "IP:port"; port 0 is replaced by the bound port on entry.
        faults: Faults that are switched on.
        calls: Paths of the calls received, in order.
        version: Version of the last transaction.
    """

    def __init__(self, address: str = "127.0.0.1:0"):
        self.address = address
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.version = 0
        self._rows: dict[tuple[str, str], _Row] = {}
        self._changes: list[tuple[tuple[str, str], _Row]] = []
        self._changed = asyncio.Event()
        self._listener = HttpListener(address, self._handle, ListenerLimits())

    async def __aenter__(self) -> "RowStore":
        await self._listener.__aenter__()
        self.address = self._listener.address
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._listener.__aexit__(*exc_info)

    def put(self, table: str, key: str, value: dict) -> None:
        """Writes a row, as an operator or a target does."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, data: bytes) -> None:
        """Writes a row whose value need not be readable."""
        self._write({(table, key): data})

    def delete(self, table: str, key: str) -> None:
        """Deletes a row."""
        self._write({(table, key): None})

    def get(self, table: str, key: str) -> dict | None:
        """Returns the value of a row, None if there is no such row."""
        row = self._rows.get((table, key))
        if row is None or row.deleted:
            return None
        return json.loads(base64.b64decode(row.value))

    def _write(self, rows: dict[tuple[str, str], bytes | None]) -> None:
        self.version += 1
        for key, value in rows.items():
            text = base64.b64encode(value or b"").decode()
            self._rows[key] = _Row(text, self.version, value is None)
            self._changes.append((key, self._rows[key]))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        path, _, query = request.target.partition("?")
        self.calls.append(path)
        if self.faults.is_silent:
            await asyncio.sleep(3600.0)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return Response(503)
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        match path:
            case "/v1/rows-get":
                return self._read_table(fields)
            case "/v1/rows-feed":
                return await self._read_feed(fields)
            case "/v1/rows-tx":
                return await self._transact(json.loads(request.body))
        return Response(404)

    def _answer(
        self, rows: list[dict], status: int = 200, version: int | None = None
    ) -> Response:
        body = {
            "rows": rows,
            "has_more": False,
            "row_version": self.version if version is None else version,
            "now_ms": int(time.monotonic() * 1000),
        }
        return Response(status, json.dumps(body).encode())

    def _read_table(self, fields: dict[str, str]) -> Response:
        first = fields.get("from", "")
        return self._answer(
            [
                _row_document(key, row)
                for key, row in sorted(self._rows.items())
                if key[0] == fields["table"]
                and key[1] >= first
                and not row.deleted
            ]
        )

    async def _read_feed(self, fields: dict[str, str]) -> Response:
        if self.faults.has_no_history:
            return Response(410)
        after = int(fields["after"])
        end = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            rows = [
                _row_document(key, row)
                for key, row in self._changes
                if key[0] == fields["table"] and row.version > after
            ]
            left = end - time.monotonic()
            if len(rows) > MAX_FEED_ROWS:
                rows = rows[:MAX_FEED_ROWS]
                return self._answer(rows, version=rows[-1]["row_version"])
            if rows or left <= 0:
                return self._answer(rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    async def _transact(self, body: dict) -> Response:
        current = []
        differs = False
        for expected in body.get("expected_rev", ()):
            key = (expected["table"], expected["key"])
            row = self._rows.get(key)
            version = row.version if row and not row.deleted else 0
            differs = differs or version != expected["row_version"]
            if row is not None:
                current.append(_row_document(key, row))
        if differs:
            return self._answer(current, 412)
        self._write(
            {
                (row["table"], row["key"]): base64.b64decode(row["value"])
                for row in body.get("set_keys", ())
            }
        )
        if self.faults.unanswered_writes > 0:
            self.faults.unanswered_writes -= 1
            await asyncio.sleep(3600.0)
        return self._answer([])


def _row_document(key: tuple[str, str], row: _Row) -> dict:
    return {
        "table": key[0],
        "part": "",
        "key": key[1],
        "value": row.value,
        "row_version": row.version,
        "deleted": row.deleted,
    }
