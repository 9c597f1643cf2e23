"""Runs the tests: `python -m testkit [--list] [SUBSTRING ...]`.

With substrings, only tests whose id contains one of them run. Tests that
KNOWN-RED.txt lists are not run; they are printed and counted as skipped.
"""

import argparse
import importlib
import pathlib
import sys
import time
import unittest

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
SLOW_TEST_S = 5.0


def main() -> int:
    """Runs the selected tests and returns the exit status."""
    parser = argparse.ArgumentParser(prog="testkit")
    parser.add_argument(
        "--list",
        action="store_true",
        help="print the ids of the selected tests and exit",
    )
    parser.add_argument(
        "substrings", nargs="*", help="run tests whose id contains one of these"
    )
    arguments = parser.parse_args()
    root = pathlib.Path(__file__).resolve().parent.parent
    known_failures = read_known_failures(root / KNOWN_FAILURES_FILE)
    tests = [
        test
        for test in discover(root)
        if not arguments.substrings
        or any(s in test.id() for s in arguments.substrings)
    ]
    if arguments.list:
        print("\n".join(test.id() for test in tests))
        return 0
    skipped_ids = [test.id() for test in tests if test.id() in known_failures]
    result = run([test for test in tests if test.id() not in known_failures])
    for name in skipped_ids:
        print(f"passed over (see {KNOWN_FAILURES_FILE}): {name}")
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(skipped_ids)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and result.testsRun else 1


def read_known_failures(path: pathlib.Path) -> set[str]:
    """Returns the ids of tests that are known to fail.

    Args:
        path: Text file that lists each test in a line "test: ID". Other lines
            are ignored, and a missing file lists no tests.
    """
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def discover(root: pathlib.Path) -> list[unittest.TestCase]:
    """Returns the tests of all files `tests/test_*.py` below the root.

    Raises:
        SystemExit: A file does not define `load_tests`. unittest would
            silently ignore its test functions.
    """
    loader = unittest.TestLoader()
    names = sorted(
        ".".join(path.relative_to(root).with_suffix("").parts)
        for path in root.glob("*/**/tests/test_*.py")
        if not _is_generated(path.relative_to(root).parts[0])
    )
    for name in names:
        if not hasattr(importlib.import_module(name), "load_tests"):
            raise SystemExit(
                f"{name} does not define load_tests; add "
                "load_tests = function_tests(__name__)"
            )
    return list(flatten(loader.loadTestsFromNames(names)))


def _is_generated(folder: str) -> bool:
    """Returns whether a top-level folder is hidden or holds build output."""
    return folder.startswith(".") or folder == "target"


def flatten(suite: unittest.TestSuite):
    """Yields the test cases of a suite and of the suites nested in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


class TimedResult(unittest.TextTestResult):
    """Test result that prints each test that takes `SLOW_TEST_S` or longer."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Records the start time of the test."""
        self.test_started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints the duration of the test if it was slow."""
        super().stopTest(test)
        duration_s = time.monotonic() - self.test_started_at
        if duration_s >= SLOW_TEST_S:
            print(f"\n{duration_s:.1f} s {test.id()}")


def run(tests: list[unittest.TestCase]) -> unittest.TestResult:
    """Runs tests one after the other and prints the total duration."""
    runner = unittest.TextTestRunner(
        verbosity=1, stream=sys.stdout, resultclass=TimedResult
    )
    started_at = time.monotonic()
    result = runner.run(unittest.TestSuite(tests))
    print(f"{result.testsRun} tests in {time.monotonic() - started_at:.1f} s")
    return result


if __name__ == "__main__":
    sys.exit(main())
