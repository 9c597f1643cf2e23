"""Runs plain test functions with fixtures on top of unittest."""

from testkit._functions import fixture
from testkit._functions import function_tests
from testkit._functions import TestFunction

__all__ = ["TestFunction", "fixture", "function_tests"]
