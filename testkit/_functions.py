"""Collects plain test functions and fixtures into a unittest suite."""

import contextlib
import inspect
import sys
import unittest
from collections.abc import Callable
from typing import Any

_MARK = "testkit_fixture"


def fixture(function: Callable) -> Callable:
    """Marks a generator function as a fixture.

    The function yields one value; the code after the yield cleans up. Its
    parameters name other fixtures, or `case` for assertions.
    """
    manager = contextlib.contextmanager(function)
    setattr(manager, _MARK, True)
    return manager


class TestFunction(unittest.TestCase):
    """Runs one test function with its fixtures.

    Attributes:
        function: The test function.
        fixtures: Fixtures by name.
    """

    def __init__(self, function: Callable, fixtures: dict[str, Callable]):
        super().__init__("run_function")
        self.function = function
        self.fixtures = fixtures

    def id(self) -> str:
        """Dotted name of the function."""
        return f"{self.function.__module__}.{self.function.__name__}"

    def __str__(self) -> str:
        return self.id()

    def shortDescription(self) -> str | None:  # noqa: N802 (unittest's name)
        """No description: the id names the test."""
        return None

    def run_function(self) -> None:
        """Sets the fixtures up, calls the function, cleans up in reverse."""
        with contextlib.ExitStack() as stack:
            values: dict[str, Any] = {"case": self}
            self.function(**self._resolve(self.function, values, stack))

    def _resolve(
        self,
        function: Callable,
        values: dict[str, Any],
        stack: contextlib.ExitStack,
    ) -> dict[str, Any]:
        names = list(inspect.signature(function).parameters)
        for name in names:
            if name in values:
                continue
            manager = self.fixtures[name]
            arguments = self._resolve(manager, values, stack)
            values[name] = stack.enter_context(manager(**arguments))
        return {name: values[name] for name in names}


def function_tests(module_name: str) -> Callable:
    """Makes a `load_tests` hook for a module of test functions.

    Args:
        module_name: `__name__` of the module. Functions named `test_*` become
            tests; fixtures are looked up among the module's globals.
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str
    ) -> unittest.TestSuite:
        del loader, tests, pattern
        members = vars(sys.modules[module_name])
        fixtures = {k: v for k, v in members.items() if hasattr(v, _MARK)}
        return unittest.TestSuite(
            TestFunction(value, fixtures)
            for name, value in members.items()
            if name.startswith("test_") and inspect.isfunction(value)
        )

    return load_tests
