"""Tests of connections whose bytes are held back."""

import asyncio

from testkit import function_tests
from testkit.cuts._held import HeldConnection

load_tests = function_tests(__name__)

PAUSE_S = 0.05


class Recorder(asyncio.Protocol):
    """Records what happens to a connection; "!" stands for its end."""

    def __init__(self):
        self.seen = ""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Records data."""
        self.seen += data.decode()

    def connection_lost(self, error: Exception | None) -> None:
        """Records the end."""
        self.seen += "!"


async def play_steps(steps: str) -> str:
    """Plays steps on a connection and returns what both sides saw.

    Args:
        steps: Words: "hold:in,out" sets what is held back, "late:in,out" the same
            for bytes that arrive late, "write" sends "w"
            from this side and "answer" "a" from the other, "close" and "abort"
            end the connection on this side, "leave" on the other, "reset" cuts
            it, and "|" notes what both sides have seen so far.

    Returns:
        For each "|": what this side saw, "/", what the other side saw.
    """
    loop = asyncio.get_running_loop()
    other = Recorder()
    server = await loop.create_server(lambda: other, "127.0.0.1", 0)
    recorder = Recorder()
    connection = HeldConnection(recorder)
    port = server.sockets[0].getsockname()[1]
    await loop.create_connection(lambda: connection, "127.0.0.1", port)
    await asyncio.sleep(PAUSE_S)
    notes = []
    for step in steps.split():
        match step.partition(":"):
            case "hold", _, directions:
                connection.hold(d for d in directions.split(",") if d)
            case "late", _, directions:
                connection.hold((d for d in directions.split(",") if d), True)
            case "write", _, _:
                recorder.transport.write(b"w")
            case "answer", _, _:
                other.transport.write(b"a")
            case "close", _, _:
                recorder.transport.close()
            case "abort", _, _:
                recorder.transport.abort()
            case "leave", _, _:
                other.transport.close()
            case "reset", _, _:
                connection.reset()
            case _:
                notes.append(f"{recorder.seen}/{other.seen}")
        await asyncio.sleep(PAUSE_S)
    server.close()
    recorder.transport.abort()
    other.transport.abort()
    return " ".join(notes)


async def deliver_late(pause_s: float) -> str:
    """Closes a connection whose bytes are held, and ends the cut twice.

    Args:
        pause_s: Time between the first end and a further cut of 0.1 s.

    Returns:
        What the other side saw after the second end and the spread of 0.1 s.
    """
    loop = asyncio.get_running_loop()
    other = Recorder()
    server = await loop.create_server(lambda: other, "127.0.0.1", 0)
    recorder = Recorder()
    connection = HeldConnection(recorder)
    connection.late_spread_s = 0.1
    port = server.sockets[0].getsockname()[1]
    await loop.create_connection(lambda: connection, "127.0.0.1", port)
    await asyncio.sleep(PAUSE_S)
    connection.hold(("in", "out"), True)
    recorder.transport.write(b"w")
    recorder.transport.close()
    connection.hold((), True)
    connection.hold((), True)
    await asyncio.sleep(pause_s)
    connection.hold(("out",), True)
    await asyncio.sleep(0.1)
    connection.hold((), True)
    await asyncio.sleep(0.1 + PAUSE_S)
    server.close()
    return other.seen


def test_late_bytes_arrive_once(case):
    """Guards against late bytes that are lost or doubled by a further cut."""
    for pause_s in (0.0, 0.05, 0.2):
        case.assertEqual(asyncio.run(deliver_late(pause_s)), "w!", pause_s)


def test_bytes_are_held_back(case):
    """Guards against cuts that deliver bytes, or whose ends are seen early.

    A side that is cut off without a reset hears nothing of the other one, also
    not that it closed the connection.
    """
    for steps, seen in (
        ("write answer |", "a/w"),
        ("hold:in,out write answer | hold: |", "/ a/w"),
        ("hold:out write answer | hold: |", "a/ a/w"),
        ("hold:in write answer | hold: |", "/w a/w"),
        ("hold:in,out write write hold:in | hold: answer |", "/ww a/ww"),
        ("hold:in,out write abort | hold: |", "!/ !/!"),
        ("hold:in,out answer close | hold: |", "!/ !/!"),
        ("hold:in,out leave | hold: |", "/! !/!"),
        ("hold:in answer leave | hold: |", "/! a!/!"),
        ("hold:in,out write answer reset |", "!/!"),
        ("hold:in,out abort write reset |", "!/!"),
        ("close |", "!/!"),
        ("late:in,out write answer | hold: |", "/ a/w"),
        ("late:in,out write write close | hold: |", "!/ !/ww!"),
        ("late:out write abort | hold: |", "!/ !/w!"),
        ("late:in,out write close reset |", "!/!"),
        ("late:in,out answer close | hold: |", "!/ !/!"),
    ):
        case.assertEqual(asyncio.run(play_steps(steps)), seen, steps)
