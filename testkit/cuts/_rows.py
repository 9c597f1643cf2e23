"""Rows of the targets in the store, which lapse while a target is cut off."""

import asyncio
import math
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
    """Removes and restores the rows of targets that are cut off from the store.

    Attributes:
        links: Links of a running site.
        draw_return_s: Returns how long a row takes to return, in seconds.
    """

    links: SiteLinks
    draw_return_s: Callable[[], float]
    _cut_since: dict[str, float] = attrs.field(factory=dict)
    # Time at which a row returns, by target; infinite during the cut.
    _lapsed: dict[str, float] = attrs.field(factory=dict)

    async def follow_cuts(self) -> None:
        """Updates the rows until it is cancelled."""
        while True:
            for server in self.links.site.targets:
                self._update(server, time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update(self, server: FakeTargetServer, now: float) -> None:
        name, store = server.name, self.links.site.store
        if self.links.is_cut_off(name, STORE):
            cut_since = self._cut_since.setdefault(name, now)
            is_lapsed = self._lapsed.get(name) == math.inf
            if now - cut_since >= LAPSE_S and not is_lapsed:
                self._lapsed[name] = math.inf
                store.delete("servers", name)
            return
        self._cut_since.pop(name, None)
        if name not in self._lapsed:
            return
        if self._lapsed[name] == math.inf:
            self._lapsed[name] = now + self.draw_return_s()
        if now >= self._lapsed[name]:
            del self._lapsed[name]
            server.register(store)
