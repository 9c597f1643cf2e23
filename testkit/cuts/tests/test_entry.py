"""Tests of the connections of an entry that are cut."""

import asyncio
import json
import pathlib
import sys
import tempfile
from collections.abc import Callable
from unittest import mock

from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from standins.rows import RowStore
from testkit import function_tests
from testkit.cuts._entry import CutLoop

load_tests = function_tests(__name__)

# Longer than the interval at which the loop reads its links.
PAUSE_S = 0.05
PLAIN = {
    **dict.fromkeys(("reset", "refused", "late"), ()),
    **dict.fromkeys(("replaced", "held", "delays"), {}),
}
CALL = "GET /v1/rows-get?table=t"


async def call_store(path: pathlib.Path, change: Callable) -> list[str]:
    """Calls a store before, during and after a cut of it.

    Args:
        path: File of the links.
        change: Receives the addresses of the store and of one that is
            unavailable, and returns the changed links.

    Returns:
        Status of each call, or why there is none.
    """
    results = []
    async with RowStore() as store, RowStore() as unavailable:
        unavailable.faults.is_down = True
        changed = change(store.address, unavailable.address)
        with HttpClient() as http:
            for links in (PLAIN, PLAIN | changed, PLAIN):
                path.write_text(json.dumps(links), encoding="utf-8")
                await asyncio.sleep(PAUSE_S)
                answer = await http.call(store.address, CALL, b"", 0.3)
                if isinstance(answer, ClientResponse):
                    results.append(str(answer.status))
                elif answer.connection_refused:
                    results.append("refused")
                else:
                    results.append("none")
    return results


def test_calls_of_a_store_that_turns_the_entry_away(case):
    """Guards against a cut that an open connection outlives."""
    for change, result in (
        (lambda store, _: {"refused": [store]}, "refused"),
        (lambda store, other: {"replaced": {store: other}}, "503"),
        (lambda store, _: {"reset": [store]}, "none"),
        (lambda store, _: {"held": {store: ["in", "out"]}}, "none"),
    ):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "e.links"
            path.write_text(json.dumps(PLAIN), encoding="utf-8")
            with (
                mock.patch.object(sys, "argv", ["", str(path)]),
                asyncio.Runner(loop_factory=CutLoop) as runner,
            ):
                results = runner.run(call_store(path, change))
        case.assertEqual(results, ["200", result, "200"])
