"""Dispatcher for sub-second tasks: every process between callers and targets."""

__version__ = "0.1.0"
