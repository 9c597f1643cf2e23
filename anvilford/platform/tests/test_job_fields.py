"""Tests of the fields of jobs, over all values that a caller may send."""

import json
import math
import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from anvilford import protocol
from anvilford.placement import JobSpec
from anvilford.placement import Offer
from anvilford.placement import PlacementOptions
from anvilford.placement import Placer
from anvilford.placement import Poll
from anvilford.placement import QueuePolicy
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import StartRun
from anvilford.placement import TargetRecord
from anvilford.platform import decode_deadline_s
from anvilford.platform import decode_job
from anvilford.platform import DEFAULT_DEADLINE_S
from anvilford.platform import encode_invalid_job
from anvilford.platform import InvalidJobBody
from anvilford.platform import MAX_DEADLINE_S
from anvilford.platform import UnsupportedJob
from testkit import function_tests

load_tests = function_tests(__name__)

INFINITY = float("inf")
# Allowed values by field of a step, and values just outside of the range.
RANGES = {
    "count": ((0, 10_000), (-1, 10_001)),
    "cpu": ((0, 1_000_000), (-1, 1_000_001)),
    "mem_mb": ((0, 16_777_216), (-1, 16_777_217)),
    "gpu": ((0, 1_024), (-1, 1_025)),
    "estimate_ms": ((0, 86_400_000), (-1, 86_400_001)),
    "anti_affinity": ((0, 10_000), (-1, 10_001)),
}
# Values that no numeric field may have.
NO_NUMBERS = (
    True, False, None, "5", "", [], [1], {}, -1, -0.5, 1e308, -1e308, 2**63,
    2**64, 10**400, -(10**400), INFINITY, -INFINITY, math.nan,
)  # fmt: skip
# Attributes of the decoded step, by field.
VALUES = {
    "count": lambda step: step.count,
    "cpu": lambda step: step.need.cpu_millis,
    "mem_mb": lambda step: step.need.memory_mb,
    "gpu": lambda step: step.need.gpus,
    "estimate_ms": lambda step: step.estimate_ms,
    "anti_affinity": lambda step: step.spread_limit,
}
# Most tasks of the jobs that the tests let a placer start. It takes seconds to
# place thousands of tasks without cores on one target (KNOWN-RED.txt, 47).
MAX_PLACED_TASKS = 200
POLICY = QueuePolicy("q", "line", 0, 3, 1.6, 60)
TARGET = TargetRecord(
    "t", 3, "t", "a", "line", False, 0, Resources(48_000, 2**20, 8), (), 1
)
example_settings = settings(derandomize=True, max_examples=400, deadline=None)


def decode(step=None, **fields):
    """Decodes a job of a step with changes, and with changed fields."""
    whole = {"count": 1, "cpu": 1000, "mem_mb": 1, "estimate_ms": 50}
    steps = [{**whole, **(step or {})}]
    body = {"spec": "x", "best_effort": True, "steps": steps, **fields}
    return decode_job(json.dumps(body).encode())


def check_refusal(case, decoded, field):
    """Checks that a job is refused and that the answer names a field."""
    case.assertIsInstance(decoded, InvalidJobBody)
    answer = json.loads(encode_invalid_job(decoded))
    case.assertEqual(answer["field"], field)
    case.assertTrue(answer["allowed"])
    return answer


def test_numbers_out_of_range_are_accepted(case):
    """Guards against numbers that fail later, with 500 or after seconds.

    A negative number of cores was run; an estimate of 1e308 was answered 500.
    """
    for field, (allowed, outside) in RANGES.items():
        for value in (*NO_NUMBERS, *outside):
            with case.subTest(field=field, value=value):
                answer = check_refusal(
                    case, decode({field: value}), f"steps[0].{field}"
                )
                for bound in allowed:
                    case.assertIn(str(bound), answer["allowed"])
        for value in allowed:
            with case.subTest(field=field, value=value):
                second = {"count": 1}
                whole = {"count": 1, field: value}
                if field == "count" and value:
                    second = {"count": 0}
                decoded = decode(steps=[whole, second])
                case.assertIsInstance(decoded, JobSpec)
                case.assertEqual(VALUES[field](decoded.steps[0]), value)


def test_numbers_with_a_point_are_refused_or_cut(case):
    """Guards against numbers that depend on how JSON is written.

    1.0e3 is the number 1000. Amounts are rounded up, so that a task gets what it
    needs; numbers of things have no fractions.
    """
    for field, value in VALUES.items():
        case.assertEqual(value(decode({field: 100.0}).steps[0]), 100)
    for field in ("cpu", "mem_mb", "estimate_ms"):
        step = decode({field: 99.5}).steps[0]
        case.assertEqual(VALUES[field](step), 100)
    for field in ("count", "gpu", "anti_affinity"):
        check_refusal(case, decode({field: 99.5}), f"steps[0].{field}")


def test_steps_that_name_others_wrongly_are_accepted(case):
    """Guards against steps that wait for themselves, for later ones or nothing."""
    first = {"count": 1}
    for after in (*NO_NUMBERS, [1], [2], [-1], [0.5], ["0"], [None]):
        if after == []:
            continue
        with case.subTest(after=after):
            decoded = decode(steps=[first, {"count": 1, "after": after}])
            check_refusal(case, decoded, "steps[1].after")
    decoded = decode(steps=[first, {"count": 1, "after": [0.0, 0]}])
    case.assertEqual(decoded.steps[1].after, (0,))


def test_texts_that_cannot_be_passed_on_are_accepted(case):
    """Guards against texts that no message to another entry can hold."""
    for value in ("\ud800", "x" * 4001, "\u00e9" * 2001, None, 5, [], {}, True):
        check_refusal(case, decode(spec=value), "spec")
    case.assertEqual(decode(spec="\u00e9" * 2000).payload, "\u00e9" * 2000)
    for field in ("requires", "affinity"):
        for value in ("\ud800", "x" * 801, None, 5, [], {}, True):
            check_refusal(case, decode({field: value}), f"steps[0].{field}")
        case.assertIsInstance(decode({field: "x" * 800}), JobSpec)


def test_jobs_of_another_shape_are_accepted(case):
    """Guards against bodies that are no jobs, or that hold a leader up."""
    case.assertEqual(len(decode(steps=[{"count": 1}] * 100).steps), 100)
    for steps in (None, 5, "x", {}, {"0": {}}, True, [{"count": 1}] * 101):
        check_refusal(case, decode(steps=steps), "steps")
    for step in (None, 5, "x", [], True):
        check_refusal(case, decode(steps=[step]), "steps[0]")
    for counts in ([0], [10_000, 1], [5_000, 5_001]):
        steps = [{"count": count} for count in counts]
        check_refusal(case, decode(steps=steps), "steps[].count")
    for body in (
        b"", b"[]", b"5", b"null", b'"x"', b"\xff", b"{", b"[" * 100_000,
        b'{"steps":' * 20_000, b'{"best_effort":' + b"9" * 5000 + b"}",
    ):  # fmt: skip
        check_refusal(case, decode_job(body), "")


def test_refused_body_is_logged_as_a_whole(case):
    """Guards against log lines as long as the bodies that callers send."""
    for body in (b"\xff" * 100_000, b'"' + b"x" * 100_000, b"9" * 100_000):
        case.assertLess(len(decode_job(body).reason), 300)
    huge = {"requires": "x" * 100_000, "cpu": 10**4000}
    case.assertLess(len(decode(huge).reason), 300)


def test_deadline_of_any_size_is_a_number_of_seconds(case):
    """Guards against an answer of 500 for a deadline that no float can hold."""
    for text, seconds in (
        ("1540", 1.54),
        ("0", 0.0),
        ("-5", 0.0),
        (str(10**400), MAX_DEADLINE_S),
        ("-" + str(10**400), 0.0),
        ("9" * 5000, DEFAULT_DEADLINE_S),
        ("", DEFAULT_DEADLINE_S),
        ("nan", DEFAULT_DEADLINE_S),
        ("1e3", DEFAULT_DEADLINE_S),
        ("1.5", DEFAULT_DEADLINE_S),
        ("\u00b2", DEFAULT_DEADLINE_S),
        (None, DEFAULT_DEADLINE_S),
    ):
        with case.subTest(text=text):
            case.assertEqual(decode_deadline_s(text), seconds)


def make_placer() -> Placer:
    """Returns a placer that has claimed one target."""
    placer = Placer(64, 0.0, PlacementOptions(), random.Random(1))
    placer.apply_target_list([TARGET], [], 0.0)
    placer.limit_leases(100.0, 100.0)
    for effect in placer.pop_effects():
        if isinstance(effect, Poll):
            report = Report(5, (), (), TARGET.incarnation)
            placer.handle_poll_answer(effect, report, 0.05)
    return placer


numbers = (
    st.integers(0, 20)
    | st.integers()
    | st.integers(0, 2**70)
    | st.floats()
    | st.sampled_from(NO_NUMBERS)
    | st.sampled_from(
        [bound for bounds, _ in RANGES.values() for bound in bounds]
    )
)
texts = (
    st.text(max_size=5)
    | st.sampled_from(["\ud800", None, 5])
    | st.just("x").map(lambda text: text * 5000)
)
odd_steps = st.fixed_dictionaries(
    {},
    optional={
        **dict.fromkeys((*RANGES, "repeat_count"), numbers),
        "after": st.lists(numbers, max_size=3) | numbers,
        "requires": texts,
        "affinity": texts,
        "unknown": texts,
    },
)
odd_jobs = st.fixed_dictionaries(
    {"best_effort": st.just(True)},
    optional={
        "spec": texts,
        "steps": st.lists(odd_steps, max_size=4) | numbers,
    },
)


@st.composite
def valid_jobs(draw):
    """Draws a job within all ranges, with counts that are small or largest."""
    steps = []
    for number in range(draw(st.integers(1, 4))):
        fields = {
            name: draw(st.integers(*bounds) | st.sampled_from(bounds))
            for name, (bounds, _) in RANGES.items()
            if draw(st.booleans())
        }
        count = draw(st.integers(1, 30) | st.sampled_from([0, 1, 2500]))
        after = draw(st.lists(st.integers(0, number - 1))) if number else []
        names = st.just("") | st.text(st.characters(codec="utf-8"), max_size=5)
        texts = {name: draw(names) for name in ("requires", "affinity")}
        steps.append({**fields, **texts, "count": count, "after": after})
    steps[0]["count"] = max(steps[0]["count"], 1)
    spec = draw(st.text(st.characters(codec="utf-8"), max_size=1000))
    return {"best_effort": True, "spec": spec, "steps": steps}


@example_settings
@given(raw=odd_jobs)
def test_odd_job_raises_an_exception(case, raw):
    """Guards against bodies that are neither decoded nor refused with a field."""
    decoded = decode_job(json.dumps(raw).encode())
    case.assertIsInstance(decoded, JobSpec | InvalidJobBody | UnsupportedJob)
    if isinstance(decoded, InvalidJobBody):
        answer = json.loads(encode_invalid_job(decoded))
        case.assertTrue(answer["allowed"])
    if isinstance(decoded, JobSpec):
        place(case, decoded, 0.0, 1.0)


@example_settings
@given(
    raw=valid_jobs(),
    waited=st.floats(0, 0.1) | st.floats(0, 10),
    remaining=st.floats(0, MAX_DEADLINE_S),
)
@example(
    raw={
        "best_effort": True,
        "spec": "x",
        "steps": [{name: bounds[1] for name, (bounds, _) in RANGES.items()}],
    },
    waited=0.0,
    remaining=MAX_DEADLINE_S,
)
def test_accepted_job_fails_in_the_leader(case, raw, waited, remaining):
    """Guards against valid jobs that are refused, or raise in placement."""
    decoded = decode_job(json.dumps(raw).encode())
    case.assertIsInstance(decoded, JobSpec)
    place(case, decoded, waited, remaining)


def place(case, spec: JobSpec, waited: float, remaining: float) -> None:
    """Passes a job through the codec to a placer, and checks its arithmetic."""
    offer = Offer("a1", "entry", POLICY, spec, waited, remaining)
    frame = protocol.encode(protocol.Envelope(1, False, offer))
    case.assertEqual(protocol.decode(frame).ok.message, offer)
    placer = make_placer()
    placer.offer(offer, 0.1)
    job = placer.jobs.get("a1")
    if job is not None:
        for value in (job.objective, job.demand.work, job.demand.longest):
            case.assertTrue(math.isfinite(value))
        for value in (job.demand.cpu, job.smallest_cpu):
            case.assertLess(value, 2**63)
        case.assertGreaterEqual(job.smallest_cpu, 0)
    count = sum(step.count for step in spec.steps)
    if count > MAX_PLACED_TASKS:
        return
    placer.dispatch(0.1)
    starts = [e for e in placer.pop_effects() if isinstance(e, StartRun)]
    case.assertLessEqual(len(starts), count)
    for now in (0.2, 0.5, 3.0):
        placer.dispatch(now)
        placer.tick(now)
