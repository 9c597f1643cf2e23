"""Builds unittest suites from plain test functions and their fixtures."""

import contextlib
import inspect
import sys
import unittest
from collections.abc import Callable
from typing import Any

_FIXTURE_ATTRIBUTE = "testkit_fixture"


def fixture(function: Callable) -> Callable:
    """Marks a generator function as a fixture.

    The function yields one value, and the code after the yield cleans up. Each
    parameter names another fixture of the module, or is `case`, the running
    `unittest.TestCase`.
    """
    manager = contextlib.contextmanager(function)
    setattr(manager, _FIXTURE_ATTRIBUTE, True)
    return manager


class TestFunction(unittest.TestCase):
    """Test case that runs one test function with its fixtures.

    Attributes:
        function: The test function.
        fixtures: Fixtures of the module by name.
    """

    def __init__(self, function: Callable, fixtures: dict[str, Callable]):
        super().__init__("run_function")
        self.function = function
        self.fixtures = fixtures

    def id(self) -> str:
        """Returns the dotted name of the function."""
        return f"{self.function.__module__}.{self.function.__name__}"

    def __str__(self) -> str:
        return self.id()

    def shortDescription(self) -> str | None:  # noqa: N802 (unittest's name)
        """Returns None, so that unittest reports the test id only."""
        return None

    def run_function(self) -> None:
        """Sets up the fixtures, runs the test, cleans up in reverse order."""
        with contextlib.ExitStack() as stack:
            values: dict[str, Any] = {"case": self}
            self.function(**self._resolve(self.function, values, stack))

    def _resolve(
        self,
        function: Callable,
        values: dict[str, Any],
        stack: contextlib.ExitStack,
    ) -> dict[str, Any]:
        """Returns the arguments of a function, setting up missing fixtures.

        Args:
            function: Test function or fixture.
            values: Fixture values by name; fixtures set up here are added.
            stack: Receives the clean-up of each fixture.
        """
        names = list(inspect.signature(function).parameters)
        for name in names:
            if name in values:
                continue
            manager = self.fixtures[name]
            arguments = self._resolve(manager, values, stack)
            values[name] = stack.enter_context(manager(**arguments))
        return {name: values[name] for name in names}


def function_tests(module_name: str) -> Callable:
    """Returns a unittest `load_tests` hook for a module of test functions.

    Args:
        module_name: `__name__` of the module. Functions named `test_*` become
            tests. Fixtures must be globals of the module, own or imported.
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str
    ) -> unittest.TestSuite:
        del loader, tests, pattern
        members = vars(sys.modules[module_name])
        fixtures = {
            k: v for k, v in members.items() if hasattr(v, _FIXTURE_ATTRIBUTE)
        }
        return unittest.TestSuite(
            TestFunction(value, fixtures)
            for name, value in members.items()
            if name.startswith("test_") and inspect.isfunction(value)
        )

    return load_tests
