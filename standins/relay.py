"""Cuts one zone of a site off from the other entries and the platform.

Connections to targets of other zones are not cut.
"""

import asyncio
import contextlib
import json
import threading
from typing import Any

from standins import cluster


class Relay:
    """Forwards TCP connections; holds all bytes while it is cut.

    A context manager. Bytes are held, not dropped, as TCP delivers them again
    after a partition.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._flowing = asyncio.Event()
        self._flowing.set()

    def __enter__(self) -> "Relay":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._call(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def address_for(self, destination: str) -> str:
        """Opens a listener that forwards to a destination "IP:port"."""
        return self._call(self._listen(destination))

    def block(self) -> None:
        """Holds all bytes and new connections from now on."""
        self._loop.call_soon_threadsafe(self._flowing.clear)

    def unblock(self) -> None:
        """Forwards again, what was held first."""
        self._loop.call_soon_threadsafe(self._flowing.set)

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
                await self._flowing.wait()
                onward = await asyncio.open_connection(host, int(port))
                await asyncio.gather(
                    self._pump(reader, onward[1]), self._pump(onward[0], writer)
                )
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _pump(self, reader, writer) -> None:
        with contextlib.closing(writer):
            while data := await reader.read(65536):
                await self._flowing.wait()
                writer.write(data)
                await writer.drain()


class PartitionableSite(cluster.Site):
    """A site of two zones, the second of which can be cut off.

    Attributes:
        relay: Carries all traffic between the zones' entries, and that of
            the second zone's entries with the platform.
    """

    def __init__(self, relay: Relay, zones: tuple[str, str]):
        super().__init__(zones)
        self.relay = relay

    def settings_for(self, entry: cluster.Entry) -> dict[str, Any]:
        """Settings of one entry daemon."""
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
        # Each zone has one entry, so every seed lies in another zone.
        routes = {seed: self.relay.address_for(seed) for seed in self._seeds}
        return super()._start(
            name, "standins.relayed_daemon", json.dumps(routes), *arguments
        )
