"""Tests of real entry processes, with doubles of the platform."""

import asyncio
import errno
import json
import os
import signal
import subprocess
import sys

from anvilford.http1 import ClientResponse
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

# `anvilctl` requires a token; entries on the platform do not check it.
OPERATOR_TOKEN = "operator-token-of-the-tests"
READER_TIMEOUT_S = 10.0


def run(coroutine):
    """Runs the coroutine of a test on a new event loop."""
    return asyncio.run(coroutine)


def status(answer) -> int:
    """Returns the HTTP status of an answer; 0 if there was no answer."""
    return answer.status if isinstance(answer, ClientResponse) else 0


def test_jobs_are_served_by_every_entry(case):
    """Each entry serves a job on the whole path from caller to target.

    Fails if any part of the path is broken, or if a task runs twice.
    """

    async def scenario():
        async with LoopbackSite() as site:
            answers = await asyncio.gather(
                *(site.submit(name, site.new_job_id()) for name in site.entries)
            )
            case.assertEqual([status(a) for a in answers], [200] * 3)
            bodies = {a.body for a in answers}
            case.assertEqual(bodies, {b'{"state":"completed"}'})
            case.assertEqual(site.find_overlapping_tasks(), [])

    run(scenario())


# Values of rows that another writer left in the target list.
ODD_ROWS = {
    "nested": b"[" * 100_000,
    "nested-state": b'{"state":' + b"[" * 900 + b"]" * 900 + b"}",
    "unreadable": b"\xff" * 1000,
}
# Changes of a valid row by another writer.
ODD_FIELDS = {
    "port": {"address": "127.0.0.1:99999"},
    "port-0": {"address": "127.0.0.1:0"},
    "port-sign": {"address": "127.0.0.1:-1"},
    "number": {"capacity": {"cpu": 10**30, "mem_mb": 1, "gpu": 0}},
    "infinite": {"cold_remaining_ms": float("inf")},
    "digits": {"born": 10**400},
    "id\r\nX-Odd: 1": {},
    "id-\ud800": {},
    "zone": {"zone": "z" * 100_000},
}


def test_odd_rows_of_the_target_list_end_or_stop_an_entry(case):
    """Guards against entries that end, or stop to follow the target list.

    Another writer left rows there that are deeply nested, have numbers that are
    too large, a port out of range or an id that fits into no header.
    """

    async def scenario():
        async with LoopbackSite() as site:
            row = site.store.get("servers", site.targets[0].name)
            for key, data in ODD_ROWS.items():
                site.store.put_bytes("servers", key, data)
            for key, change in ODD_FIELDS.items():
                site.store.put("servers", key, {**row, **change})
            site.targets[0].register(site.store, "draining")
            await asyncio.sleep(2.0)
            pids = {n: e.process.pid for n, e in site.entries.items()}
            leader = site.leader_name()
            site.entries[leader].stop(signal.SIGTERM)
            await asyncio.sleep(0.5)
            for name in site.entries.keys() - {leader}:
                for _ in range(8):
                    answer = await site.submit(name, site.new_job_id())
                    case.assertEqual(status(answer), 200)
            case.assertEqual(len(site.targets[0].target.starts), 0)
            for name, entry in site.entries.items():
                if name != leader:
                    case.assertIsNone(entry.process.poll())
                    case.assertEqual(entry.process.pid, pids[name])
                errors = [
                    record["message"]
                    for record in entry.log_records()
                    if record["level"] == "ERROR"
                ]
                case.assertEqual(errors, [])

    run(scenario())


def test_requests_without_a_queue_or_a_supported_job(case):
    """Requests that cannot be served are refused rather than accepted.

    Stored jobs are answered 503, and paths without a queue 404.
    """

    async def scenario():
        async with LoopbackSite(entries=1) as site:
            stored = await site.submit(
                "entry-0", site.new_job_id(), best_effort=False
            )
            case.assertEqual(status(stored), 503)
            bad = await site.http.call(
                site.entries["entry-0"].caller_address,
                "POST /nowhere/0000000000000001",
                b"{}",
                1.0,
            )
            case.assertEqual(status(bad), 404)

    run(scenario())


def test_killed_leader_is_replaced_and_its_jobs_go_on(case):
    """Jobs continue under a new leader after the leader is killed.

    Otherwise their runs would be lost with the leader or started a second
    time.
    """

    async def scenario():
        async with LoopbackSite() as site:
            await site.submit("entry-0", site.new_job_id())
            leader = site.leader_name()
            others = [name for name in site.entries if name != leader]
            jobs = [
                asyncio.ensure_future(
                    site.submit(name, site.new_job_id(), seconds=1.0)
                )
                for name in others
            ]
            await asyncio.sleep(0.4)
            site.entries[leader].stop(signal.SIGKILL)
            answers = await asyncio.gather(*jobs)
            case.assertEqual([status(a) for a in answers], [200] * len(jobs))
            case.assertEqual(site.find_overlapping_tasks(), [])
            started = sum(len(r.target.starts) for r in site.targets)
            # Each job has two tasks. Every task was started once, so the new
            # leader took over the runs and repeated none.
            case.assertEqual(started, 2 + 2 * len(jobs))

    run(scenario())


def test_planned_stop_answers_all(case):
    """All requests are answered after SIGTERM, before the processes exit.

    Otherwise a planned stop would break off requests in progress.
    """

    async def scenario():
        async with LoopbackSite() as site:
            jobs = [
                asyncio.ensure_future(
                    site.submit(name, site.new_job_id(), seconds=0.8)
                )
                for name in site.entries
            ]
            await asyncio.sleep(0.3)
            for entry in site.entries.values():
                entry.send_signal(signal.SIGTERM)
            answers = await asyncio.gather(*jobs)
            case.assertEqual([status(a) for a in answers], [200] * len(jobs))
            codes = [
                await asyncio.to_thread(e.process.wait)
                for e in site.entries.values()
            ]
            case.assertEqual(codes, [0] * len(codes))

    run(scenario())


def test_frozen_leader_does_no_harm_when_it_wakes(case):
    """A leader that is suspended and replaced sends no orders afterwards.

    Otherwise a leader that was stopped for 2 s and resumed would start tasks
    that its successor runs as well.
    """

    async def scenario():
        async with LoopbackSite() as site:
            await site.submit("entry-0", site.new_job_id())
            leader = site.leader_name()
            other = next(name for name in site.entries if name != leader)
            job = site.new_job_id()
            first = asyncio.ensure_future(
                site.submit(other, job, seconds=1.5, timeout=8.0)
            )
            await asyncio.sleep(0.4)
            site.entries[leader].send_signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            site.entries[leader].send_signal(signal.SIGCONT)
            case.assertEqual(status(await first), 200)
            case.assertEqual(site.find_overlapping_tasks(), [])

    run(scenario())


def test_store_outage_does_not_stop_serving(case):
    """Entries serve jobs while the store does not answer.

    Fails if a request has to wait for the store.
    """

    async def scenario():
        async with LoopbackSite() as site:
            await site.submit("entry-0", site.new_job_id())
            site.store.faults.is_down = True
            await asyncio.sleep(0.5)
            for name in site.entries:
                answer = await site.submit(name, site.new_job_id())
                case.assertEqual(status(answer), 200)

    run(scenario())


def test_configuration_is_followed_and_kept(case):
    """A new configuration is applied although the store lost its history.

    Fails if the change is lost with the history or takes more than 1.5 s.
    """

    async def scenario():
        async with LoopbackSite(entries=2) as site:
            site.store.faults.has_no_history = True
            site.put_configuration(2, prefix="/other/")
            await asyncio.sleep(1.5)
            answer = await site.submit("entry-1", site.new_job_id())
            case.assertEqual(status(answer), 404)

    run(scenario())


def test_refused_job_can_be_explained(case):
    """A refused job leaves log lines, a reason and a counter.

    Without them an operator cannot tell why the job was refused.
    """

    async def scenario():
        async with LoopbackSite(entries=1, targets=1) as site:
            busy = asyncio.ensure_future(
                site.submit("entry-0", site.new_job_id(), seconds=2.0)
            )
            await asyncio.sleep(0.3)
            job = site.new_job_id()
            answer = await site.submit("entry-0", job, seconds=0.2, tasks=4)
            case.assertEqual(status(answer), 429)
            lines = [
                line
                for line in site.entries["entry-0"].log_records()
                if line.get("job") == job
            ]
            events = [line["message"] for line in lines]
            case.assertEqual(events, ["job refused", "request answered"])
            case.assertIn("expected_wait_ms", lines[0])
            metrics = await site.http.call(
                site.entries["entry-0"].metrics_address,
                "GET /metrics",
                b"",
                1.0,
            )
            case.assertIn(b'anvilford_jobs_total{queue="jobs"', metrics.body)
            await busy

    run(scenario())


def test_settings_are_reloaded_on_sighup(case):
    """SIGHUP reloads the settings while requests are served.

    Fails if the reload drops a request or is not logged.
    """

    async def scenario():
        async with LoopbackSite(entries=1) as site:
            entry = site.entries["entry-0"]
            job = asyncio.ensure_future(
                site.submit("entry-0", site.new_job_id(), seconds=0.5)
            )
            await asyncio.sleep(0.2)
            settings = json.loads(entry.settings_path.read_text())
            settings["log_level"] = "debug"
            entry.settings_path.write_text(json.dumps(settings))
            entry.send_signal(signal.SIGHUP)
            case.assertEqual(status(await job), 200)
            reloads = [
                line
                for line in entry.log_records()
                if line["message"] == "settings reloaded"
            ]
            case.assertEqual([line["changed"] for line in reloads], [True])

    run(scenario())


async def open_for_writing(path: str) -> int:
    """Returns a descriptor of a named pipe once a process reads from it."""
    async with asyncio.timeout(READER_TIMEOUT_S):
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
            await asyncio.sleep(0.01)


def test_reload_during_the_start(case):
    """SIGHUP during the start does not end the process and is obeyed later.

    The failure: the signal ended an entry that had not started its components.
    """

    async def scenario():
        async with LoopbackSite(entries=1) as site:
            entry = site.entries["entry-0"]
            entry.stop(signal.SIGKILL)
            path = entry.settings_path
            first = path.read_text()
            # The process stands still while it reads its settings from a pipe.
            path.unlink()
            os.mkfifo(path)
            entry.start()
            pipe = await open_for_writing(path)
            changed = path.with_suffix(".changed")
            changed.write_text(
                json.dumps(json.loads(first) | {"log_level": "debug"})
            )
            changed.replace(path)
            entry.send_signal(signal.SIGHUP)
            with open(pipe, "w", encoding="utf-8") as writer:
                writer.write(first)
            await site.wait_ready("entry-0")
            reloads = [
                line["changed"]
                for line in entry.log_records()
                if line["message"] == "settings reloaded"
            ]
            case.assertEqual(reloads, [True])

    run(scenario())


def test_restarted_entry_follows_while_the_store_is_slow(case):
    """A restarted process does not lead because it knows no other member.

    The failure: its read of the leader's row timed out, so it had no member to
    query. It led and claimed the targets of a working leader, which raised its
    term in turn.
    """

    async def scenario():
        async with LoopbackSite() as site:
            await site.submit("entry-0", site.new_job_id())
            leader = site.leader_name()
            name = next(name for name in site.entries if name != leader)
            entry = site.entries[name]
            entry.stop(signal.SIGKILL)
            site.store.faults.delay_s = 0.4
            entry.start()
            await site.wait_ready(name)
            answer = await site.submit(name, site.new_job_id())
            case.assertEqual(status(answer), 200)
            moves = [
                line["move"]
                for line in entry.log_records()
                if line["message"] == "leader sought"
            ]
            case.assertNotIn("Lead", moves)
            case.assertEqual(site.leader_name(), leader)

    run(scenario())


def test_job_is_not_offered_to_a_leader_that_is_silent(case):
    """Jobs that arrive after the leader stopped answering are held back.

    The failure: the jobs were offered to the unresponsive leader. Its successor
    could not tell whether they had started, and had to wait until their runs
    must have ended.
    """

    async def scenario():
        async with LoopbackSite() as site:
            await site.submit("entry-0", site.new_job_id())
            leader = site.leader_name()
            name = next(name for name in site.entries if name != leader)
            site.entries[leader].send_signal(signal.SIGSTOP)
            # Longer than the heartbeat interval plus the time after which a
            # leader counts as unresponsive.
            await asyncio.sleep(0.25)
            job = site.new_job_id()
            answer = await site.submit(name, job, timeout=4.0)
            case.assertEqual(status(answer), 200)
            started = [
                line
                for entry in site.entries.values()
                for line in entry.log_records()
                if line["message"] == "job started" and line["job"] == job
            ]
            case.assertEqual([line["again"] for line in started], [False])

    run(scenario())


def test_anvilctl_status_of_an_entry(case):
    """`anvilctl status` shows the leader as known to each entry.

    Fails if an entry does not report its view of the leader.
    """

    async def scenario():
        async with LoopbackSite(entries=2) as site:
            await site.submit("entry-0", site.new_job_id())
            for entry in site.entries.values():
                shown = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "anvilford.cli", "status"]
                    + [
                        "--address",
                        entry.metrics_address,
                        "--token",
                        OPERATOR_TOKEN,
                    ],
                    capture_output=True,
                    text=True,
                    check=False,
                )
                case.assertEqual(shown.returncode, 0, shown.stderr)
                case.assertIn(
                    f"Leader: {site.leader_name()}, term 1", shown.stdout
                )
                case.assertIn("4 targets, 0 jobs waiting", shown.stdout)

    run(scenario())


def test_speeds_outlive_the_leader(case):
    """A new leader starts with the target speeds that the old one measured.

    Fails if the speeds are lost when the leader is killed.
    """

    async def scenario():
        async with LoopbackSite(targets=2) as site:
            end = asyncio.get_running_loop().time() + 5.0
            while asyncio.get_running_loop().time() < end:
                await site.submit("entry-0", site.new_job_id(), 0.05, 4)
            leader = site.leader_name()
            name = next(name for name in site.entries if name != leader)
            site.entries[leader].stop(signal.SIGKILL)
            await asyncio.sleep(1.5)
            answer = await site.submit(name, site.new_job_id())
            case.assertEqual(status(answer), 200)
            taken = [
                line["targets"]
                for entry in site.entries.values()
                for line in entry.log_records()
                if line["message"] == "speeds taken over"
            ]
            case.assertEqual(taken, [2])

    run(scenario())


def test_small_leader_hands_over_to_a_large_entry(case):
    """The entry with most cores leads, and the change loses no job.

    Fails if the first entry that starts goes on leading, or if a job is lost
    or started twice while the leaders change.
    """

    async def scenario():
        async with LoopbackSite(cores={"entry-1": 2.0}) as site:
            site.entries["entry-1"].stop(signal.SIGKILL)
            async with asyncio.timeout(5.0):
                while site.leader_name() in (None, "entry-1"):
                    await asyncio.sleep(0.05)
            site.entries["entry-1"].start()
            statuses = []
            end = asyncio.get_running_loop().time() + 6.0
            while asyncio.get_running_loop().time() < end:
                name = f"entry-{2 * (len(statuses) % 2)}"
                answer = await site.submit(name, site.new_job_id(), 0.05, 2)
                statuses.append(status(answer))
            case.assertEqual(site.leader_name(), "entry-1")
            case.assertEqual(set(statuses), {200})
            case.assertEqual(site.find_overlapping_tasks(), [])

    run(scenario())
