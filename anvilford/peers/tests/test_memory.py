"""Tests of the memory that large messages of peers take while they arrive."""

import asyncio

import attrs

from anvilford import peers
from anvilford.http1 import RequestBudget
from anvilford.peers.tests.test_peers import asynchronous
from anvilford.peers.tests.test_peers import counts
from anvilford.peers.tests.test_peers import create_links
from anvilford.peers.tests.test_peers import frame
from anvilford.peers.tests.test_peers import HELLO
from anvilford.peers.tests.test_peers import LIMITS
from anvilford.peers.tests.test_peers import LOCAL
from anvilford.peers.tests.test_peers import REQUEST
from anvilford.peers.tests.test_peers import wait_until
from testkit import function_tests

load_tests = function_tests(__name__)

__all__ = ["counts"]
LARGE_BYTES = 400_000
LARGE = attrs.evolve(LIMITS, large_frame_timeout_s=0.5)


async def reply(sender, message):
    """Handler that returns each message as its reply."""
    del sender
    return message


@asynchronous
async def test_large_messages_that_stop_short(case, counts):
    """Guards against messages of peers that no budget counts.

    A connection that announces a large message and stops short held up to
    8 MB for as long as it stayed open.
    """
    memory = RequestBudget(1_000_000)
    server = peers.PeerServer(LOCAL, "secret", reply, counts, LARGE, memory)
    async with server, create_links(counts) as links:
        host, port = server.address.split(":")
        prefix = LARGE_BYTES.to_bytes(4, "big")
        streams = []
        for _ in range(5):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(frame(HELLO) + prefix + b"x" * (LARGE_BYTES - 1))
            streams.append((reader, writer))
        await wait_until(lambda: counts["peer_frames_bad too_large"] == 2)
        case.assertEqual(memory.held_bytes, 3 * LARGE_BYTES)
        # Small messages need no memory of the budget.
        result = await links.call(server.address, REQUEST, 1)
        case.assertEqual(result.ok, REQUEST)
        await wait_until(lambda: counts["peer_connections_ended"] == 3)
        case.assertEqual(memory.held_bytes, 0)
        for _, writer in streams:
            writer.close()
