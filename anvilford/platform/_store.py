"""Client of the platform's metadata store."""

import base64
import binascii
import json
import urllib.parse
from typing import Any

import attrs

from anvilford.http1 import CallFailed
from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.http1 import ResponseProgress
from anvilford.platform._decoding import DECODE_ERRORS
from anvilford.platform._decoding import require_int
from anvilford.platform._decoding import require_str


@attrs.frozen
class StoreRow:
    """One row of the store.

    Attributes:
        table: Name of the table.
        key: Key of the row within the table's empty partition.
        value: Content of the row; empty if the row is deleted.
        version: Version of the row ("row_version" on the wire).
        deleted: True if the change feed reported that the row was deleted.
    """

    table: str
    key: str
    value: bytes
    version: int
    deleted: bool = False


@attrs.frozen
class Snapshot:
    """Rows returned by a read or a watch.

    Attributes:
        rows: The rows.
        version: Newest version in the whole store at the time of the read. A
            watch continues from it. It is called "row_version" on the wire,
            as the version of a row is.
    """

    rows: tuple[StoreRow, ...]
    version: int


@attrs.frozen
class Written:
    """The transaction was committed.

    Attributes:
        version: New version of all rows that it wrote.
    """

    version: int


@attrs.frozen
class Conflict:
    """The transaction was rejected because of an unexpected row version.

    Attributes:
        rows: Current content of the rows that have another version than the
            transaction expected.
    """

    rows: tuple[StoreRow, ...]


@attrs.frozen
class HistoryLost:
    """The store no longer has all changes since the requested version."""


@attrs.frozen
class StoreFailed:
    """The call returned no usable response.

    Attributes:
        reason: Short description for logs.
        may_have_taken_effect: True if the call was a write that may have been
            committed or may still be.
        is_incomplete: True if the call was a read whose response began and did
            not become complete.
    """

    reason: str
    may_have_taken_effect: bool = False
    is_incomplete: bool = False


class StoreClient:
    """Client that reads, writes and watches rows of the store.

    It never retries a call; that is up to the code that uses it.

    Attributes:
        http: HTTP client with the connections to the store.
        address: "IP:port" of the store.
    """

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.address = address

    async def read(
        self,
        table: str,
        timeout: float,
        progress: ResponseProgress | None = None,
    ) -> Snapshot | StoreFailed:
        """Reads all rows in the empty partition of a table.

        The table is read page by page, and rows may change between pages. The
        snapshot therefore has the version of the first page, so that a watch
        from that version reports every such change.

        Args:
            table: Name of the table.
            timeout: Time limit for each page to begin, and for each pause
                within it, in seconds. A page takes as long as the link needs.
            progress: Updated while the pages arrive.
        """
        rows: list[StoreRow] = []
        version: int | None = None
        first = ""
        while True:
            query = urllib.parse.urlencode(
                {
                    "table": table,
                    "part": "",
                    **({"from": first} if first else {}),
                }
            )
            page = await self._get(
                f"/v1/rows-get?{query}", timeout, timeout, progress
            )
            match page:
                case HistoryLost():
                    return StoreFailed("status 410")
                case StoreFailed():
                    return page
            rows += page.rows
            if version is None:
                version = page.version
            if not page.has_more or not page.rows:
                return Snapshot(tuple(rows), version)
            if page.rows[-1].key < first:
                return StoreFailed("pages do not advance")
            # The next page starts at a key, inclusive. The appended zero byte
            # makes it start after the last row of this page.
            first = rows[-1].key + "\0"

    async def watch(
        self,
        table: str,
        after: int,
        wait_ms: int,
        timeout: float,
        idle_timeout: float,
        progress: ResponseProgress | None = None,
    ) -> Snapshot | HistoryLost | StoreFailed:
        """Waits for changes to a table after a version (long polling).

        Args:
            table: Name of the table.
            after: Version after which changes are reported.
            wait_ms: How long the store may wait for a change, in milliseconds.
            timeout: Time limit for the answer to begin, in seconds.
            idle_timeout: Time limit for each pause within it, in seconds.
            progress: Updated while the answer arrives.

        Returns:
            The changed rows, none if nothing changed; `HistoryLost` if the
            caller has to read the whole table again.
        """
        query = urllib.parse.urlencode(
            {"table": table, "after": after, "wait_ms": wait_ms}
        )
        page = await self._get(
            f"/v1/rows-feed?{query}", timeout, idle_timeout, progress
        )
        if isinstance(page, HistoryLost | StoreFailed):
            return page
        return Snapshot(page.rows, page.version)

    async def write(
        self,
        table: str,
        key: str,
        value: bytes,
        expected_version: int,
        timeout: float,
    ) -> Written | Conflict | StoreFailed:
        """Writes a row if it still has the expected version (compare-and-swap).

        Args:
            table: Name of the table.
            key: Key of the row in the empty partition.
            value: New content.
            expected_version: Version that the row must have; 0 if the row must
                not exist.
            timeout: Time limit for the call, in seconds.
        """
        row = {"table": table, "part": "", "key": key}
        body = {
            "expected_rev": [{**row, "row_version": expected_version}],
            "set_keys": [{**row, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        answer = await self.http.call(
            self.address,
            "POST /v1/rows-tx",
            json.dumps(body).encode(),
            timeout,
        )
        match answer:
            case CallFailed(sent, reason):
                return StoreFailed(reason, may_have_taken_effect=sent)
            case ClientResponse(200, data) if (
                page := _decode_page(data)
            ) is not None:
                return Written(page.version)
            case ClientResponse(412, data) if (
                page := _decode_page(data)
            ) is not None:
                return Conflict(page.rows)
            case ClientResponse(200):
                return StoreFailed(
                    "malformed answer", may_have_taken_effect=True
                )
            case ClientResponse(status):
                return StoreFailed(f"status {status}")

    async def _get(
        self,
        path: str,
        timeout: float,
        idle_timeout: float,
        progress: ResponseProgress | None,
    ) -> "_Page | HistoryLost | StoreFailed":
        """Sends a GET request and decodes the page of rows in the response.

        Returns:
            The page; `HistoryLost` if the store answered 410.
        """
        answer = await self.http.call(
            self.address,
            "GET " + path,
            b"",
            timeout,
            idle_timeout=idle_timeout,
            progress=progress,
        )
        match answer:
            case CallFailed(_, reason):
                has_begun = progress is not None and progress.received_bytes > 0
                return StoreFailed(reason, is_incomplete=has_begun)
            case ClientResponse(200, data):
                return _decode_page(data) or StoreFailed("malformed answer")
            case ClientResponse(410):
                return HistoryLost()
            case ClientResponse(status):
                return StoreFailed(f"status {status}")


@attrs.frozen
class _Page:
    """Decoded body of a response.

    Attributes:
        rows: The rows.
        version: Version of the store, or that of the written rows.
        has_more: Whether rows of the table follow this page.
    """

    rows: tuple[StoreRow, ...]
    version: int
    has_more: bool


def _decode_page(data: bytes) -> _Page | None:
    """Decodes a response body; returns None if it is malformed.

    One malformed row makes the whole page malformed: if it were left out, a
    watch would never report its change again.
    """
    try:
        page = json.loads(data)
        return _Page(
            tuple(
                _decode_row(raw)
                for raw in page.get("rows", ())
                if not raw.get("part")
            ),
            require_int(page.get("row_version", 0)),
            bool(page.get("has_more")),
        )
    except DECODE_ERRORS:
        return None


def _decode_row(raw: dict[str, Any]) -> StoreRow:
    try:
        value = base64.b64decode(raw.get("value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        # The decoders of the content report an empty value as malformed.
        value = b""
    return StoreRow(
        require_str(raw.get("table", "")),
        require_str(raw.get("key", "")),
        value,
        require_int(raw.get("row_version", 0)),
        bool(raw.get("deleted")),
    )
