"""TCP proxy on loopback that delays, resets and blackholes connections.

It can also limit the bandwidth of the link.
"""

import asyncio
import enum
import math

CHUNK_BYTES = 16384


class LinkState(enum.Enum):
    """State of the link that a proxy simulates."""

    OPEN = "open"
    SILENT = "silent"  # Drops all bytes; connections stay open.
    ONE_WAY = "one_way"  # Drops bytes from upstream only.
    REFUSED = "refused"  # Aborts new connections.


class Proxy:
    """Forwards TCP connections to an address; an async context manager.

    Attributes:
        upstream: "IP:port" to which connections are forwarded.
        address: "IP:port" on which the proxy listens, once entered.
        state: State of the link; may be changed at any time.
        delay: Delay before each chunk is forwarded, in seconds.
        answer_bytes_per_s: Bandwidth that the bytes from upstream on all
            connections share.
    """

    def __init__(self, upstream: str):
        self.upstream = upstream
        self.state = LinkState.OPEN
        self.delay = 0.0
        self.answer_bytes_per_s = math.inf
        # Time of the event loop at which the link has sent all bytes so far.
        self._link_free_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Proxy":
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def reset(self) -> None:
        """Aborts all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def silence(self) -> None:
        """Drops all further bytes of the open connections, for good.

        New connections work.
        """
        self._silenced |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.REFUSED:
            writer.transport.abort()
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        for source, sink, is_answer in (
            (reader, up_writer, False),
            (up_reader, writer, True),
        ):
            task = asyncio.ensure_future(self._pump(source, sink, is_answer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _wait_for_bandwidth(self, size: int) -> None:
        """Waits until the link has sent `size` further bytes."""
        now = asyncio.get_running_loop().time()
        self._link_free_at = max(self._link_free_at, now) + (
            size / self.answer_bytes_per_s
        )
        if self._link_free_at > now:
            await asyncio.sleep(self._link_free_at - now)

    async def _pump(self, source, sink, is_answer: bool) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if is_answer:
                    await self._wait_for_bandwidth(len(data))
                is_dropped = (
                    self.state is LinkState.SILENT
                    or (is_answer and self.state is LinkState.ONE_WAY)
                    or sink in self._silenced
                )
                if not is_dropped:
                    sink.write(data)
                    await sink.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The peer closed the connection; the other one is closed below.
            pass
        finally:
            self._writers.discard(sink)
            self._silenced.discard(sink)
            sink.close()
