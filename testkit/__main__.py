"""Runs the tests: `python -m testkit [--list] [SUBSTRING ...]`."""

import argparse
import importlib
import pathlib
import sys
import time
import unittest

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
SLOW_TEST_S = 5.0


def main() -> int:
    """Runs the selected tests and prints a closing line with the counts."""
    parser = argparse.ArgumentParser(prog="testkit")
    parser.add_argument("--list", action="store_true", help="only list ids")
    parser.add_argument("substrings", nargs="*", help="run ids with any of")
    arguments = parser.parse_args()
    root = pathlib.Path(__file__).resolve().parent.parent
    known_red = read_known_failures(root / KNOWN_FAILURES_FILE)
    tests = [
        test
        for test in discover(root)
        if not arguments.substrings
        or any(s in test.id() for s in arguments.substrings)
    ]
    if arguments.list:
        print("\n".join(test.id() for test in tests))
        return 0
    passed_over = [test.id() for test in tests if test.id() in known_red]
    result = run([test for test in tests if test.id() not in known_red])
    for name in passed_over:
        print(f"passed over (see {KNOWN_FAILURES_FILE}): {name}")
    bad = len(result.failures) + len(result.errors)
    bad += len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(passed_over)
    good = result.testsRun - bad - len(result.skipped)
    print(f"{good} passed, {bad} failed, {skipped} skipped")
    return 0 if bad == 0 and result.testsRun else 1


def read_known_failures(path: pathlib.Path) -> set[str]:
    """Reads the ids of tests that are known to fail.

    Args:
        path: File with one line "test: ID" per case among its other lines.
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
    """Finds every test in files `tests/test_*.py` below the root.

    Raises:
        SystemExit: A file does not define `load_tests`; unittest would pass
            over its functions without a word.
    """
    loader = unittest.TestLoader()
    names = sorted(
        ".".join(path.relative_to(root).with_suffix("").parts)
        for path in root.glob("*/**/tests/test_*.py")
        if not _is_generated(path.relative_to(root).parts[0])
    )
    for name in names:
        if not hasattr(importlib.import_module(name), "load_tests"):
            raise SystemExit(f"{name} does not define load_tests")
    return list(flatten(loader.loadTestsFromNames(names)))


def _is_generated(folder: str) -> bool:
    """Whether a folder holds an environment or build output."""
    return folder.startswith(".") or folder == "target"


def flatten(suite: unittest.TestSuite):
    """Yields the test cases of nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


class TimedResult(unittest.TextTestResult):
    """Prints the tests that take long."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Notes the time."""
        self.test_started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints the test when it was slow."""
        super().stopTest(test)
        taken = time.monotonic() - self.test_started
        if taken >= SLOW_TEST_S:
            print(f"\n{taken:.1f} s {test.id()}")


def run(tests: list[unittest.TestCase]) -> unittest.TestResult:
    """Runs tests one by one and prints the slow ones."""
    runner = unittest.TextTestRunner(
        verbosity=1, stream=sys.stdout, resultclass=TimedResult
    )
    started = time.monotonic()
    result = runner.run(unittest.TestSuite(tests))
    print(f"{result.testsRun} tests in {time.monotonic() - started:.1f} s")
    return result


if __name__ == "__main__":
    sys.exit(main())
