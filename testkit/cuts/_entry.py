"""Runs an entry whose connections to some addresses are cut or delayed.

The file beside the settings, with the suffix ".links", is a JSON object: "reset"
lists addresses whose open connections are aborted, "refused" others that also refuse
new ones, "replaced" has the addresses to which new ones lead instead, "held" the
directions ("in", "out") in which the bytes of others are held back, "late" those of
them of which bytes arrive also if their connections were closed, "delays" the mean
delay in seconds of answers. Attempts to open a connection to an address of "reset" or
"held" wait until it is in neither.
"""

import asyncio
import errno
import functools
import json
import pathlib
import random
import sys

import uvloop

from anvilford.node import main
from testkit.cuts._held import HeldConnection

READ_INTERVAL_S = 0.01
# Longest time after a cut until late bytes of closed connections arrive.
LATE_SPREAD_S = 0.25


class DelayedProtocol(asyncio.Protocol):
    """Passes the bytes of a connection on after a random delay, in order."""

    def __init__(self, inner: asyncio.Protocol, mean_delay_s: float):
        self.inner = inner
        self.mean_delay_s = mean_delay_s
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    def __getattr__(self, name: str) -> object:
        return getattr(self.inner, name)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._call_later(self.inner.data_received, data)

    def eof_received(self) -> bool:
        self._call_later(self.inner.eof_received)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._call_later(self.inner.connection_lost, error)

    def _call_later(self, callback, *arguments: object) -> None:
        delay = random.expovariate(1.0 / self.mean_delay_s)
        self._free_at = max(self._free_at, self._loop.time() + delay)
        self._loop.call_at(self._free_at, callback, *arguments)


class CutLoop(uvloop.Loop):
    """Event loop that cuts and delays outgoing connections."""

    def __init__(self):
        super().__init__()
        self.links_path = pathlib.Path(sys.argv[1]).with_suffix(".links")
        self.reset: frozenset[str] = frozenset()
        self.refused: frozenset[str] = frozenset()
        self.replaced: dict[str, str] = {}
        self.held: dict[str, list[str]] = {}
        self.late: frozenset[str] = frozenset()
        self.delays: dict[str, float] = {}
        self._changed_ns = 0
        self._open: dict[HeldConnection, str] = {}
        self._read_links()

    def _read_links(self) -> None:
        self.call_later(READ_INTERVAL_S, self._read_links)
        changed_ns = self.links_path.stat().st_mtime_ns
        if changed_ns == self._changed_ns:
            return
        self._changed_ns = changed_ns
        links = json.loads(self.links_path.read_text(encoding="utf-8"))
        self.reset = frozenset(links["reset"])
        self.refused = frozenset(links["refused"])
        replaced_before, self.replaced = self.replaced, links["replaced"]
        changed = replaced_before.keys() ^ self.replaced.keys()
        self.held = links["held"]
        self.late = frozenset(links["late"])
        self.delays = links["delays"]
        for connection, address in list(self._open.items()):
            if address in changed:
                connection.reset()
            self._apply(connection, address)
            if connection.is_over:
                del self._open[connection]

    def _apply(self, connection: HeldConnection, address: str) -> None:
        if address in self.reset or address in self.refused:
            connection.reset()
        else:
            directions = self.held.get(address, ())
            connection.hold(directions, address in self.late)

    async def create_connection(self, factory, host=None, port=None, **kwargs):
        """Opens a connection once its address can be reached."""
        address = f"{host}:{port}"
        while address in self.reset or address in self.held:
            await asyncio.sleep(READ_INTERVAL_S)
        if address in self.refused:
            raise ConnectionRefusedError(errno.ECONNREFUSED, address)
        replacement = self.replaced.get(address)
        if replacement is not None:
            host, _, port = replacement.rpartition(":")
        delay = self.delays.get(address)
        connection = None

        def create_protocol() -> asyncio.Protocol:
            nonlocal connection
            connection = HeldConnection(factory())
            connection.late_spread_s = LATE_SPREAD_S
            if delay:
                return DelayedProtocol(connection, delay)
            return connection

        await super().create_connection(create_protocol, host, port, **kwargs)
        self._open[connection] = address
        # A cut may have begun or ended while the connection was opened.
        if self.replaced.get(address) != replacement:
            connection.reset()
        self._apply(connection, address)
        return connection.transport, connection.inner


def use_cut_loop() -> None:
    """Lets the entry of this process run on a `CutLoop`."""
    uvloop.run = functools.partial(uvloop.run, loop_factory=CutLoop)


if __name__ == "__main__":
    use_cut_loop()
    sys.exit(main())
