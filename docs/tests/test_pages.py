"""Checks the examples and names in documentation pages against the code."""

import json
import pathlib
import re

from standins.cluster import CALLER_TOKEN
from standins.cluster import job
from standins.cluster import Site
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

DOCS = pathlib.Path(__file__).resolve().parent.parent
EXAMPLE_PATTERN = re.compile(
    r"```http\n(\w+) (\S+)\n(.*?)(\d{3}) (\{.*?)\n```", re.S
)


@fixture
def site():
    """Yields a running site of one daemon and two targets."""
    with Site() as running:
        yield running


def differs_from_example(expected, found) -> bool:
    """Returns whether a JSON value lacks a part of the example on the page.

    Extra keys are allowed, and "..." stands for any value that is not empty.
    """
    match expected:
        case dict():
            return not isinstance(found, dict) or any(
                key not in found or differs_from_example(value, found[key])
                for key, value in expected.items()
            )
        case list():
            return len(expected) != len(found) or any(
                map(differs_from_example, expected, found)
            )
        case "...":
            return not found
    return expected != found


def test_examples_of_callers_page(case, site):
    """Checks that a daemon gives the answers that docs/callers.md shows."""
    entry = site.entries[0]
    examples = EXAMPLE_PATTERN.findall((DOCS / "callers.md").read_text())
    case.assertGreater(len(examples), 12)
    fixed = {"{unused}": site.issue(entry)[0], "{id}": ""}
    for method, path, body, status, expected in examples:
        # An example uses the id of the first job if it queries or resubmits
        # that job, and otherwise a new id.
        is_again = method == "GET" or '"b"' in body
        if not fixed["{id}"] or not is_again:
            current = site.issue(entry)[0]
            if not fixed["{id}"] and method == "PUT":
                fixed["{id}"] = current
        else:
            current = fixed["{id}"]
        url = path.replace("{unused}", fixed["{unused}"])
        response = site.http.request(
            method,
            f"http://{entry.callers}{url.replace('{id}', current)}",
            body=body.encode() or None,
            headers={"Authorization": f"Bearer {CALLER_TOKEN}"},
        )
        shown = f"{method} {path} {body}: {response.data}"
        case.assertEqual(response.status, int(status), shown)
        wrong = differs_from_example(json.loads(expected), response.json())
        case.assertFalse(wrong, shown)


def test_traceparent_of_tracing_page(case):
    """Checks that the trace of the example on the tracing page is kept.

    At a sampling ratio of 1%, the traceparent of the example must make the
    daemon keep the trace.
    """
    page = (DOCS / "operating" / "tracing.md").read_text()
    context, trace_id = re.search(r"traceparent: (00-(\w+)-\S+)", page).groups()
    with Site(changes={"trace": {"ratio": 0.01}}) as site:
        entry = site.entries[0]
        site.http.request(
            "PUT",
            f"http://{entry.callers}/v1/submissions/{site.issue(entry)[0]}",
            json=job(2, run_ms=10),
            headers={
                "Authorization": f"Bearer {CALLER_TOKEN}",
                "traceparent": context,
            },
        )
        trace = site.operator("GET", entry, f"/v1/traces/{trace_id}").json()
    names = {span["name"] for span in trace["spans"]}
    case.assertEqual(names, {"submission.submit", "task.attempt"})


def test_counters_on_operating_page(case):
    """Checks that the operating page lists exactly the existing metrics.

    A metric that is added, renamed or removed in the code must change there.
    """
    code = "\n".join(
        path.read_text()
        for path in (DOCS.parent / "anvilford").rglob("*.py")
        if "tests" not in path.parts
    )
    used = set(
        re.findall(
            r'(?:\bIncrementCounter|increment|observe)\(\s*"(\w+)"', code
        )
    )
    page = (DOCS / "operating" / "operating.md").read_text()
    listed = set(
        re.findall(r"^\| `anvilford_(\w+?)(?:_total|_seconds)?`", page, re.M)
    )
    case.assertEqual(used - listed, set())
    case.assertEqual(listed - used - {"series_dropped"}, set())
