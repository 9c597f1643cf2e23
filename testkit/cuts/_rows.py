"""Rows of the targets in the store.

They lapse while a target is cut off, and are written anew after its restart or once
it drains. The row of a target that has left is removed.
"""

import asyncio
import time
from collections.abc import Callable

import attrs

from standins.runner import FakeTargetServer
from testkit.cuts._links import SiteLinks
from testkit.cuts._links import STORE

# The store removes a row after three reports that are missing, of 1.5 s each.
LAPSE_S = 4.5
# Longest time until a target that reaches the store again is listed.
LONGEST_RETURN_S = 2.0
CHECK_INTERVAL_S = 0.05


@attrs.define
class TargetRows:
    """Removes the rows of targets that are cut off from the store.

    Rows that are missing, or are those of an earlier incarnation, return some
    time after the target reaches the store.

    Attributes:
        links: Links of a running site.
        draw_return_s: Returns how long a row takes to return, in seconds.
    """

    links: SiteLinks
    draw_return_s: Callable[[], float]
    _cut_since: dict[str, float] = attrs.field(factory=dict)
    # Time at which a row returns, by target.
    _returns_at: dict[str, float] = attrs.field(factory=dict)

    async def follow_cuts(self) -> None:
        """Updates the rows until it is cancelled."""
        while True:
            self.update(time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def update(self, now: float) -> None:
        """Updates the rows at a time in seconds."""
        for server in self.links.site.targets:
            self._update(server, now)

    def _update(self, server: FakeTargetServer, now: float) -> None:
        name, store = server.name, self.links.site.store
        row = store.get("servers", name)
        if server.state == "left":
            if row:
                store.delete("servers", name)
            return
        if self.links.is_cut_off(name, STORE):
            self._returns_at.pop(name, None)
            cut_since = self._cut_since.setdefault(name, now)
            if row and now - cut_since >= LAPSE_S:
                store.delete("servers", name)
            return
        self._cut_since.pop(name, None)
        if row and row["born"] == server.incarnation:
            if row["state"] != server.state:
                server.register(store, server.state)
            return
        if name not in self._returns_at:
            self._returns_at[name] = now + self.draw_return_s()
        if now >= self._returns_at[name]:
            del self._returns_at[name]
            server.register(store, server.state)
