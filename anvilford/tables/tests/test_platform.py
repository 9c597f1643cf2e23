"""Tests of the platform client against a test double of the platform."""

import asyncio
import contextlib
import time

from anvilford.protocol import VmInfo
from anvilford.protocol import VmRole
from anvilford.protocol import VmState
from anvilford.tables import BadPlatformResponse
from anvilford.tables import NotWritten
from anvilford.tables import OperationAccepted
from anvilford.tables import OperationConflict
from anvilford.tables import PlatformClient
from anvilford.tables import PlatformSettings
from anvilford.tables import PlatformTimeout
from anvilford.tables import PlatformUnavailable
from anvilford.tables import Row
from anvilford.tables import Unresolved
from anvilford.tables import VersionConflict
from anvilford.tables import write_with_operation_id
from standins import PlatformStandin
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def platform():
    """Provides a platform without faults on a free port."""
    with PlatformStandin("127.0.0.1:0") as standin:
        yield standin


def run(platform, use, client_class=PlatformClient, timeout_ms=150):
    """Runs the coroutine function `use` with an open client.

    Returns:
        The result of `use`.
    """
    settings = PlatformSettings(platform.address, timeout_ms=timeout_ms)

    async def start():
        with client_class(settings) as client:
            return await use(client)

    return asyncio.run(start())


def value_with_history(version, *earlier, operation="mine"):
    """Builds a row value whose history ends with the given version."""
    entry = {"operation": operation, "version": version, "author": operation}
    return {"history": [*earlier, entry]}


def test_rows_and_objects_round_trip(case, platform):
    """Guards against changed keys or values and writes despite a conflict.

    The key and the value contain characters that need encoding. A write with
    another expected version must return the current row.
    """

    async def use(client):
        missing = await client.read_row("a/b")
        written = await client.write_row("a/b", 0, {"x": "é"})
        conflict = await client.write_row("a/b", 0, {"x": 2})
        absent = await client.write_row("none", 3, {})
        data = b"\x00\xff"
        put = await client.put_object("o", data)
        objects = [await client.get_object(key) for key in ("o", "none")]
        return missing, written, conflict, absent, put, *objects

    got = run(platform, use)
    row = Row("a/b", 1, {"x": "é"})
    case.assertEqual([r.ok for r in got[:2]], [None, row])
    case.assertEqual(got[2].error, VersionConflict(row))
    case.assertEqual(got[3].error, VersionConflict(None))
    case.assertEqual([r.ok for r in got[4:]], [None, b"\x00\xff", None])


def test_vm_list_is_parsed_strictly(case, platform):
    """Guards against a VM that seems removed because its item is malformed.

    Skipping the malformed item would shorten the list, and entries take a VM
    that is not listed as gone.
    """
    platform.put_vm("e1", "entry", "z1", "127.0.0.1:1")
    platform.put_vm("t1", "target", "z2", "127.0.0.1:2", "leaving", "svc")
    listed = run(platform, lambda client: client.list_vms()).ok
    case.assertEqual(
        listed.vms,
        (
            VmInfo("e1", VmRole.ENTRY, "z1", "127.0.0.1:1", "", VmState.LIVE),
            VmInfo(
                "t1", VmRole.TARGET, "z2", "127.0.0.1:2", "svc", VmState.LEAVING
            ),
        ),
    )
    case.assertEqual(listed.revision, 2)
    for bad in (
        ("t2", "other", "z", "127.0.0.1:1"),
        ("t2", "target", "z", "nowhere"),
        ("t2", "target", "z", "127.0.0.1:1", "gone"),
        ("t2", "target", None, "127.0.0.1:1"),
    ):
        platform.put_vm(*bad)
        result = run(platform, lambda client: client.list_vms())
        case.assertIsInstance(result.error, BadPlatformResponse, bad)


def test_faults_return_failures_in_time(case, platform):
    """Guards against exceptions and blocked calls during platform faults.

    Outages, slow responses and malformed rows must be returned as failures
    soon after the timeout at the latest.
    """
    platform.rows["bad"] = ("not a version", {})
    table = [
        ({"outage": True}, "k", PlatformUnavailable(True)),
        ({"slow_ms": 400}, "k", PlatformTimeout()),
        (
            {},
            "bad",
            BadPlatformResponse(
                200,
                "version is 'not a version'; expected an integer of at least 0",
            ),
        ),
    ]
    for faults, key, expected in table:
        platform.set_faults(outage=False, slow_ms=0)
        platform.set_faults(**faults)
        started = time.monotonic()
        result = run(platform, lambda client, key=key: client.read_row(key))
        case.assertEqual(result.error, expected)
        case.assertLess(time.monotonic() - started, 0.35)


def test_unreachable_platform_proves_that_nothing_was_written(case):
    """Guards against `Unresolved` for a write that was never sent.

    If no connection was established, the write cannot have taken effect, and
    the operator must be told so.
    """
    with PlatformStandin("127.0.0.1:0") as platform:
        pass

    async def use(client):
        write = await client.write_row("k", 0, {})
        return write, await write_with_operation_id(
            client, "k", 0, value_with_history(1), "mine", max_attempts=2
        )

    write, operation = run(platform, use)
    case.assertEqual(write.error, PlatformUnavailable(False))
    case.assertEqual(operation.error, NotWritten(PlatformUnavailable(False)))


def test_slow_reads_do_not_delay_writes(case, platform):
    """Guards against a configuration change that waits for slow polls.

    Four slow reads occupy all read threads while the write is made.
    """

    async def use(client):
        platform.set_faults(slow_ms=300)
        reads = [asyncio.create_task(client.read_row("k")) for _ in range(4)]
        await asyncio.sleep(0.05)
        platform.set_faults(slow_ms=0)
        started = time.monotonic()
        write = await client.write_row("k", 0, 1)
        duration_s = time.monotonic() - started
        return write, duration_s, await asyncio.gather(*reads)

    write, duration_s, reads = run(platform, use)
    case.assertEqual(write.ok, Row("k", 1, 1))
    case.assertLess(duration_s, 0.1)
    case.assertEqual({str(read.error) for read in reads}, {"PlatformTimeout()"})


class InterferingClient(PlatformClient):
    """Client on which another operator writes before each read of a row.

    Attributes:
        platform: Double whose row is replaced.
        keep: True if the other operator's history keeps the latest entry.
    """

    async def read_row(self, key):
        """Writes the other operator's row and reads it."""
        version, value = self.platform.rows.get(key, (0, {"history": []}))
        other = {
            "operation": "other",
            "version": version + 1,
            "author": "other",
        }
        kept = value["history"][-1:] if self.keep else []
        self.platform.rows[key] = (version + 1, {"history": [*kept, other]})
        return await super().read_row(key)


def test_operations_settle(case, platform):
    """Guards against a lost response that leads to a wrong or second write.

    The cases combine lost and slow responses, an outage and writes of another
    operator; each names the outcome that must be reported.
    """
    theirs = value_with_history(1, operation="other")
    late = {"slow_ms": 220}
    table = [
        ({}, None, None, OperationAccepted(1, 1)),
        ({"lose_answers": 1}, None, None, OperationAccepted(1, 1)),
        ({"lose_answers": 1}, None, True, OperationAccepted(1, 2)),
        ({"lose_answers": 1}, None, False, Unresolved(None)),
        (late, None, None, OperationAccepted(1, 1)),
        ({"outage": True}, None, True, Unresolved(PlatformUnavailable(True))),
        ({}, theirs, None, OperationConflict(1, "other", Row("k6", 1, theirs))),
    ]
    for index, (faults, existing, keep, expected) in enumerate(table):
        key = f"k{index}"
        if existing is not None:
            platform.rows[key] = (1, existing)
        InterferingClient.platform, InterferingClient.keep = platform, keep
        platform.set_faults(outage=False, slow_ms=0, lose_answers=False)
        platform.set_faults(**faults)

        async def use(client, key=key, faults=faults):
            if faults is late:
                loop = asyncio.get_running_loop()
                loop.call_later(0.05, lambda: platform.set_faults(slow_ms=0))
            return await write_with_operation_id(
                client, key, 0, value_with_history(1), "mine"
            )

        client_class = PlatformClient if keep is None else InterferingClient
        result = run(platform, use, client_class)
        got = result.ok if result.is_ok() else result.error
        case.assertEqual(got, expected, (index, faults))


def test_history_must_end_with_the_operation(case, platform):
    """Guards against a write that its own history does not identify.

    If the response to it were lost, its outcome could not be determined.
    """

    async def use(client):
        with contextlib.suppress(ValueError):
            await write_with_operation_id(
                client, "k", 0, value_with_history(2), "mine"
            )
            case.fail("accepted")

    run(platform, use)
    case.assertEqual(platform.rows, {})
