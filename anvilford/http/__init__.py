"""HTTP interfaces of an entry daemon."""

from anvilford.http._callers import CallerPort
from anvilford.http._callers import CallersApplication

__all__ = ["CallerPort", "CallersApplication"]
