"""Partitions one zone of a site from the other entries and the platform.

Connections to targets are not affected.
"""

import asyncio
import contextlib
import json
import threading
from typing import Any

from standins import cluster


class Relay:
    """TCP relays that hold back all bytes while blocked; a context manager.

    Bytes are delayed and not dropped, because TCP retransmits them after a
    partition.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    def __enter__(self) -> "Relay":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._call(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def address_for(self, destination: str) -> str:
        """Starts a relay to a destination "IP:port" and returns its address."""
        return self._call(self._listen(destination))

    def block(self) -> None:
        """Holds back all bytes and new connections until `unblock`."""
        self._loop.call_soon_threadsafe(self._unblocked.clear)

    def unblock(self) -> None:
        """Forwards the bytes held back, and all further bytes."""
        self._loop.call_soon_threadsafe(self._unblocked.set)

    def _call(self, coroutine) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _cancel_all(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _listen(self, destination: str) -> str:
        host, _, port = destination.rpartition(":")

        async def serve(reader, writer) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._unblocked.wait()
                onward = await asyncio.open_connection(host, int(port))
                await asyncio.gather(
                    self._copy_bytes(reader, onward[1]),
                    self._copy_bytes(onward[0], writer),
                )
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _copy_bytes(self, reader, writer) -> None:
        with contextlib.closing(writer):
            while data := await reader.read(65536):
                await self._unblocked.wait()
                writer.write(data)
                await writer.drain()


class PartitionableSite(cluster.Site):
    """Site of two zones, the second of which can be partitioned.

    Attributes:
        relay: Carries all traffic between the entries of the two zones, and
            between the entries of the second zone and the platform.
    """

    def __init__(self, relay: Relay, zones: tuple[str, str]):
        super().__init__(zones)
        self.relay = relay

    def settings_for(self, entry: cluster.Entry) -> dict[str, Any]:
        """Returns settings; the second zone uses a relay to the platform."""
        settings = super().settings_for(entry)
        if entry.zone == self.zones[1]:
            address = self.relay.address_for(self.platform)
            settings["platform"]["address"] = address
        return settings

    def _start(
        self, name: str, module: str, *arguments: str
    ) -> cluster.SiteProcess:
        if module != "anvilford.daemon":
            return super()._start(name, module, *arguments)
        # Each zone has one entry, so all seed peers are in the other zone.
        routes = {seed: self.relay.address_for(seed) for seed in self._seeds}
        return super()._start(
            name, "standins.relayed_daemon", json.dumps(routes), *arguments
        )
