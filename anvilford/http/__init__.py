"""WSGI applications for callers and operators, and their HTTP server."""

from anvilford.http._callers import CallerPort
from anvilford.http._callers import CallersApplication
from anvilford.http._connection import HttpServer
from anvilford.http._operator_port import ConfigurationConflict
from anvilford.http._operator_port import EntryUnavailable
from anvilford.http._operator_port import NotReady
from anvilford.http._operator_port import OperatorFailure
from anvilford.http._operator_port import OperatorPort
from anvilford.http._operator_port import StoreUnavailable
from anvilford.http._operator_port import UnknownTarget
from anvilford.http._operator_port import UnknownTrace
from anvilford.http._operator_port import WriteUnresolved
from anvilford.http._operators import operator_application
from anvilford.http._tokens import TokenTable

__all__ = [
    "CallerPort",
    "CallersApplication",
    "ConfigurationConflict",
    "EntryUnavailable",
    "HttpServer",
    "NotReady",
    "OperatorFailure",
    "OperatorPort",
    "StoreUnavailable",
    "TokenTable",
    "UnknownTarget",
    "UnknownTrace",
    "WriteUnresolved",
    "operator_application",
]
