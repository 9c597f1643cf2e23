"""Measures the processor time that `EntryCore` spends on events and jobs."""

import itertools
import json
import random
import time

from anvilford import protocol
from anvilford.entry import AttemptFinished
from anvilford.entry import ConfigurationReceived
from anvilford.entry import CoreOptions
from anvilford.entry import EntryCore
from anvilford.entry import PeerMessage
from anvilford.entry import Respond
from anvilford.entry import RunAttempt
from anvilford.entry import SubmissionRequested
from anvilford.entry import Tick
from anvilford.entry import VmListReceived
from anvilford.model import AttemptSucceeded
from anvilford.model import parse_job
from anvilford.protocol import EntryInfo
from anvilford.protocol import Gossip
from anvilford.protocol import RequestKind
from benchmarks._control_plane import CONNECTION_SPLIT
from benchmarks._control_plane import ControlPlane
from benchmarks._control_plane import make_incarnation
from benchmarks._control_plane import SiteSize

TASK_DURATION_S = 0.05
CALLER = "line-controller-7"


def make_core(site_size: SiteSize) -> EntryCore:
    """Creates an entry core that has received the state of the whole site.

    Its peers are never suspected, although they send no more heartbeats.
    """
    control_plane = ControlPlane(
        SiteSize(1, site_size.targets, site_size.zones, site_size.services)
    )
    me = make_incarnation(0, site_size)
    options = CoreOptions(connections=CONNECTION_SPLIT, suspect_after=1e9)
    core = EntryCore(me, bytes(32), options, random.Random(1), 0.0)
    core.handle(ConfigurationReceived(*control_plane.configuration_row), 0.0)
    core.handle(VmListReceived(1, control_plane.vms), 0.0)
    core.handle(PeerMessage(me, make_gossip(core, site_size, 1)), 0.0)
    return core


def make_gossip(core: EntryCore, site_size: SiteSize, counter: int) -> Gossip:
    """Returns a gossip message with this heartbeat of all other entries."""
    entries = tuple(
        EntryInfo(make_incarnation(n, site_size), counter, 1.0, False, 1)
        for n in range(1, site_size.entries)
    )
    sender = make_incarnation(1, site_size).address
    return Gossip(sender, entries, core.directory.fingerprint())


def min_cpu_us(function, count: int = 15) -> float:
    """Returns the processor time of the fastest call, in microseconds."""
    times = []
    for _ in range(count):
        started = time.thread_time()
        function()
        times.append(time.thread_time() - started)
    return min(times) * 1e6


def measure_event_costs(site_size: SiteSize) -> dict[str, float]:
    """Measures the processor time of core events and a job in microseconds."""
    core = make_core(site_size)
    beats = itertools.count(2)
    now = itertools.count(1)
    vms = tuple(known.info for known in core.directory.vms.values())
    messages = iter(
        [make_gossip(core, site_size, next(beats)) for _ in range(15)]
    )
    sender = make_incarnation(1, site_size)

    def tick() -> None:
        # Each tick is one second after the last, so each runs a gossip round.
        core.handle(Tick(), float(next(now)))

    def gossip() -> None:
        core.handle(
            PeerMessage(sender, next(messages)), core.gossiper.next_round - 0.1
        )

    frame = protocol.encode(
        protocol.Envelope(0, False, make_gossip(core, site_size, 1))
    )
    return {
        "gossip_round_us": min_cpu_us(tick),
        "gossip_received_us": min_cpu_us(gossip),
        "gossip_decode_us": min_cpu_us(lambda: protocol.decode(frame)),
        "list_received_us": min_cpu_us(
            lambda: core.handle(VmListReceived(1, vms), float(next(now)))
        ),
        "job_us": measure_job_cost(site_size, 1, 60),
    }


def measure_job_cost(site_size: SiteSize, tasks: int, jobs: int) -> float:
    """Measures the processor time of one job, from submission to answer.

    Includes parsing the body, but neither HTTP nor the calls to targets.

    Args:
        site_size: Size of the site whose state the core holds.
        tasks: Tasks in each job.
        jobs: Number of jobs to run one after another.

    Returns:
        Median over the jobs, in microseconds.

    Raises:
        AssertionError: A job was not completed.
    """
    core = make_core(site_size)
    now = 1.0
    document = {
        "service": "service-000",
        "deadline_ms": 120_000,
        "repeatable": True,
        "tasks": [
            {"operation": "check", "payload": {"echo": n}, "declared_ms": 50}
            for n in range(tasks)
        ],
    }
    body = json.dumps(document).encode()
    spent = []
    for number in range(jobs):
        started = time.thread_time()
        submission_id = core.issue_ids(CALLER, 1)[0]
        job = parse_job(body).ok
        event = SubmissionRequested(
            f"r{number}",
            CALLER,
            submission_id,
            RequestKind.SUBMIT,
            job,
            body,
            job.deadline_ms,
        )
        now = _run_until_answered(core, event, now)
        spent.append(time.thread_time() - started)
    return sorted(spent)[len(spent) // 2] * 1e6


def _run_until_answered(
    core: EntryCore, event: SubmissionRequested, now: float
) -> float:
    """Submits a job and lets its attempts succeed until it is answered.

    All attempts started at one time finish together `TASK_DURATION_S` later.

    Returns:
        Virtual time of the answer, in seconds.
    """
    effects = core.handle(event, now)
    while not any(isinstance(effect, Respond) for effect in effects):
        now += TASK_DURATION_S
        next_effects = []
        for effect in effects:
            if isinstance(effect, RunAttempt):
                start = effect.start
                outcome = AttemptSucceeded({"echo": 1})
                finished = AttemptFinished(
                    start.attempt_id, start.target_id, outcome
                )
                next_effects += core.handle(finished, now)
        effects = next_effects or core.handle(Tick(), now)
    answers = [e.answer.kind for e in effects if isinstance(e, Respond)]
    if answers != ["complete"]:
        raise AssertionError(f"expected one complete answer, not {answers}")
    return now
