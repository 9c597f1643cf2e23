"""HTTP client of the platform's table, object store and VM list."""

import asyncio
import concurrent.futures
import json
import time
import urllib.parse
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import attrs
import urllib3
from expression import Error
from expression import Ok
from expression import Result

from anvilford.tables._failures import BadPlatformResponse
from anvilford.tables._failures import PlatformFailure
from anvilford.tables._failures import PlatformTimeout
from anvilford.tables._failures import PlatformUnavailable
from anvilford.tables._failures import VersionConflict
from anvilford.tables._records import parse_object
from anvilford.tables._records import parse_row
from anvilford.tables._records import parse_version
from anvilford.tables._records import parse_vm_list
from anvilford.tables._records import Row
from anvilford.tables._records import VmList
from anvilford.tables._settings import PlatformSettings

_READ_CHUNK_BYTES = 64 * 1024
ParsedT = TypeVar("ParsedT")


@attrs.frozen
class _Request:
    """One HTTP request to the platform.

    Attributes:
        method: HTTP method.
        path: Path with percent-encoded segments.
        body: Body, or None if the request has none.
        headers: Header values by name.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


class PlatformClient:
    """Calls the platform on worker threads; a context manager.

    Methods are called on the event loop and never block it. Reads and writes
    have separate threads and connections. The client does not retry calls.

    Attributes:
        settings: Address, timeouts, thread counts and size limit.
    """

    def __init__(self, settings: PlatformSettings):
        self.settings = settings

    def __enter__(self) -> "PlatformClient":
        settings = self.settings
        self._read_pool = _WorkerPool(
            "platform-read", settings.read_threads, settings
        )
        self._write_pool = _WorkerPool(
            "platform-write", settings.write_threads, settings
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._read_pool.close()
        self._write_pool.close()

    async def read_row(self, key: str) -> Result[Row | None, PlatformFailure]:
        """Reads a row of the table.

        Returns:
            The row, or None if the table has no row with this key.
        """

        def parse(status: int, body: bytes) -> Row | None:
            _check_status(status, 200, 404)
            return None if status == 404 else parse_row(key, body)

        return await self._read_pool.call(
            _Request("GET", _path("table", key)), parse
        )

    async def write_row(
        self, key: str, expected_version: int, value: Any
    ) -> Result[Row, VersionConflict | PlatformFailure]:
        """Writes a row if its version is the expected one.

        Args:
            key: Key of the row.
            expected_version: Version to replace; 0 to create the row.
            value: New value, as decoded JSON.

        Returns:
            The row as written. After any failure other than a conflict the
            write may have taken effect, unless `PlatformUnavailable.sent` is
            False.
        """

        def parse(status: int, body: bytes) -> Row | VersionConflict:
            _check_status(status, 200, 412)
            if status == 412:
                row = parse_row(key, body)
                return VersionConflict(row if row.version > 0 else None)
            version = parse_version(parse_object(body))
            if version != expected_version + 1:
                raise ValueError(
                    f"version after the write is {version}; expected "
                    f"{expected_version + 1}"
                )
            return Row(key, version, value)

        request = _Request(
            "PUT",
            _path("table", key),
            json.dumps(value).encode(),
            {
                "Content-Type": "application/json",
                "If-Match": f'"{expected_version}"',
            },
        )
        match await self._write_pool.call(request, parse):
            case Result(tag="ok", ok=VersionConflict() as conflict):
                return Error(conflict)
            case result:
                return result

    async def list_vms(self) -> Result[VmList, PlatformFailure]:
        """Reads the platform's list of live and leaving VMs."""

        def parse(status: int, body: bytes) -> VmList:
            _check_status(status, 200)
            return parse_vm_list(body)

        return await self._read_pool.call(_Request("GET", "/vms"), parse)

    async def get_object(
        self, key: str
    ) -> Result[bytes | None, PlatformFailure]:
        """Reads an object of the object store.

        Returns:
            The object's bytes, or None if there is no object with this key.
        """

        def parse(status: int, body: bytes) -> bytes | None:
            _check_status(status, 200, 404)
            return None if status == 404 else body

        request = _Request("GET", _path("objects", key))
        return await self._read_pool.call(request, parse)

    async def put_object(
        self, key: str, data: bytes
    ) -> Result[None, PlatformFailure]:
        """Writes an object, replacing an existing one with the same key."""

        def parse(status: int, body: bytes) -> None:
            del body
            _check_status(status, 200)

        request = _Request("PUT", _path("objects", key), data)
        return await self._write_pool.call(request, parse)


class _WorkerPool:
    """Thread pool and connection pool for one kind of call.

    Attributes:
        settings: Address, timeouts and size limit.
    """

    def __init__(self, name: str, threads: int, settings: PlatformSettings):
        self.settings = settings
        self._executor = concurrent.futures.ThreadPoolExecutor(threads, name)
        host, _, port = settings.address.rpartition(":")
        self._connection_pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=threads, block=True, retries=False
        )

    def close(self) -> None:
        """Cancels waiting calls; each thread ends after its current call."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._connection_pool.close()

    async def call(
        self, request: _Request, parse: Callable[[int, bytes], ParsedT]
    ) -> Result[ParsedT, PlatformFailure]:
        """Performs a call on a worker thread.

        Args:
            request: The request.
            parse: Converts status and body to the result. Raises ValueError,
                with a description of the problem, if the response does not
                follow the platform's protocol.

        Returns:
            The parsed result, or the failure of the call.
        """
        timeout_s = self.settings.timeout_ms / 1000
        deadline = time.monotonic() + timeout_s
        future = self._executor.submit(
            self._send_and_parse, request, parse, deadline
        )
        waiting = asyncio.wrap_future(future)
        done, _ = await asyncio.wait((waiting,), timeout=timeout_s)
        if not done:
            # Prevents a call from being made after its failure was reported,
            # if no thread has started it yet.
            waiting.cancel()
            return Error(PlatformTimeout())
        return waiting.result()

    def _send_and_parse(
        self,
        request: _Request,
        parse: Callable[[int, bytes], ParsedT],
        deadline: float,
    ) -> Result[ParsedT, PlatformFailure]:
        status = 0
        try:
            status, body = self._send(request, deadline)
            if status == 503:
                return Error(PlatformUnavailable(sent=True))
            return Ok(parse(status, body))
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ):
            return Error(PlatformUnavailable(sent=False))
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            return Error(PlatformTimeout())
        except (urllib3.exceptions.HTTPError, OSError):
            return Error(PlatformUnavailable(sent=True))
        except ValueError as error:
            return Error(BadPlatformResponse(status, str(error)))

    def _send(self, request: _Request, deadline: float) -> tuple[int, bytes]:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        connect_timeout_s = min(
            self.settings.connect_timeout_ms / 1000, remaining_s
        )
        response = self._connection_pool.urlopen(
            request.method,
            request.path,
            request.body,
            request.headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=connect_timeout_s, total=remaining_s
            ),
            pool_timeout=remaining_s,
            preload_content=False,
            decode_content=False,
        )
        try:
            return response.status, self._read_body(response, deadline)
        finally:
            response.release_conn()

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> bytes:
        chunks = []
        size = 0
        while chunk := response.read1(_READ_CHUNK_BYTES, decode_content=False):
            chunks.append(chunk)
            size += len(chunk)
            if size > self.settings.response_bytes:
                response.close()
                raise ValueError(
                    f"body exceeds {self.settings.response_bytes} bytes"
                )
            # The timeout of urllib3 applies to each read separately, so a slow
            # sender could exceed it many times over.
            if time.monotonic() > deadline:
                response.close()
                raise TimeoutError
        return b"".join(chunks)


def _path(kind: str, key: str) -> str:
    return f"/{kind}/{urllib.parse.quote(key, safe='')}"


def _check_status(status: int, *allowed: int) -> None:
    if status not in allowed:
        raise ValueError(
            f"status is {status}; expected {' or '.join(map(str, allowed))}"
        )
