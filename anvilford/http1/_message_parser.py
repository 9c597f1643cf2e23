"""Parses requests and bounds what they bring before they are complete."""

from collections.abc import Callable

import httptools

# Memory of a request besides its bytes, for its objects.
REQUEST_COST_BYTES = 2048
# Memory of a header besides its bytes: two strings and an entry of a dictionary.
HEADER_COST_BYTES = 200
# The shortest header, "a:" and the end of its line, has four bytes, of which one
# counts for `max_header_bytes`; usual ones have four bytes of framing.
HEADER_FRAMING_FACTOR = 4
# Framing that a body may have per byte. A chunk of one byte has five bytes of it;
# some clients write the length with leading zeros.
FRAMING_FACTOR = 16


class MessageParser:
    """Parser of the requests of one connection.

    httptools gathers an unfinished header or trailer before it reports it, so
    that bytes are counted as they are fed, not as they are reported.

    Attributes:
        sizes: Returns the largest size of headers and of the body of a request
            that begins, in bytes.
        max_url_bytes: Longest request target.
        on_request: Called with each complete request, while its attributes are
            those below.
        data_arrived_at: Earliest time at which the data that is fed may have
            arrived; set by the owner.
        error: HTTP status and reason once a request cannot be served. The
            parser takes no more data then.
        in_message: True from the first byte of a request to its last; the
            attributes below are reset for each request.
        arrived_at: Earliest time at which its first byte may have arrived.
        url: Its target.
        headers: Headers by name in lower case, without trailers.
        header_size: Total length of their names and values, in bytes.
        in_body: True once all headers have arrived.
        body: The body so far.
        received_bytes: Bytes fed since its begin, at least.
        idle_bytes: Those fed since the last progress: a byte of the body or the
            end of the headers. What httptools has gathered is among them.
    """

    def __init__(
        self,
        sizes: Callable[[], tuple[int, int]],
        max_url_bytes: int,
        on_request: Callable[[], None],
    ):
        self.sizes = sizes
        self.max_url_bytes = max_url_bytes
        self.on_request = on_request
        self.data_arrived_at = 0.0
        self.error: tuple[int, str] | None = None
        self._slice_size = 0
        self._parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self) -> None:
        """Drops the request that is being received."""
        self.in_message = False
        self.arrived_at = self.data_arrived_at
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.in_body = False
        self.body = bytearray()
        self.received_bytes = 0
        self.idle_bytes = 0

    def close(self) -> None:
        """Ends the use of the parser; breaks its reference cycle."""
        self._parser = None
        self.reset()

    def feed(self, data: bytes) -> None:
        """Parses a slice of the received data; sets `error` if it must end."""
        if self.error is not None:
            return
        self._slice_size = len(data)
        self.received_bytes += len(data)
        self.idle_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._fail(400, "malformed")
        if self.in_message:
            self._check_framing()

    def _fail(self, status: int, reason: str) -> None:
        # The first error is the cause; the parser goes on to the end of a slice.
        self.error = self.error or (status, reason)

    def _check_framing(self) -> None:
        """Fails if bytes arrive that bring the request no further."""
        max_head = (
            HEADER_FRAMING_FACTOR * self._max_header_bytes + self.max_url_bytes
        )
        if not self.in_body:
            if self.idle_bytes > max_head:
                self._fail(431, "headers")
            return
        framing = self.received_bytes - len(self.body)
        # The head, and as much for trailers.
        max_framing = 2 * max_head + FRAMING_FACTOR * len(self.body)
        if self.idle_bytes > max_head or framing > max_framing:
            self._fail(413, "framing")

    def cost_bytes(self) -> int:
        """Returns the memory of the request that is being received."""
        return (
            REQUEST_COST_BYTES
            + len(self.url)
            + self.header_size
            + len(self.headers) * HEADER_COST_BYTES
            + self.body.__sizeof__()
            + self.idle_bytes
        )

    @property
    def method(self) -> str:
        """HTTP method of the request, in upper case."""
        return self._parser.get_method().decode("latin-1")

    @property
    def keeps_alive(self) -> bool:
        """Whether the client keeps the connection after the request."""
        return self._parser.should_keep_alive()

    # httptools calls the `on_*` methods from `feed`.

    def on_message_begin(self) -> None:
        self.reset()
        self.in_message = True
        # Counts what came before it in the same slice as well.
        self.received_bytes = self.idle_bytes = self._slice_size
        self._max_header_bytes, self._max_body_bytes = self.sizes()

    def on_url(self, url: bytes) -> None:
        if len(self.url) + len(url) > self.max_url_bytes:
            self._fail(414, "url")
            return
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return  # A trailer, which no handler uses.
        self.header_size += len(name) + len(value)
        if self.header_size > self._max_header_bytes:
            self._fail(431, "headers")
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.in_body = True
        self.idle_bytes = 0

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > self._max_body_bytes:
            self._fail(413, "body")
            return
        self.body += body
        self.idle_bytes = 0

    def on_message_complete(self) -> None:
        if self.error is None:
            self.on_request()
        self.reset()
