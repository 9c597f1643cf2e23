"""Test doubles of the platform and of targets, for tests and benchmarks.

They serve real connections on loopback and can be told to misbehave.
"""

from standins._http import HttpServer
from standins._http import json_response
from standins._http import Request
from standins._http import Response
from standins._platform import PlatformFaults
from standins._platform import PlatformStandin
from standins._raw import RawServer
from standins._target import TargetFaults
from standins._target import TargetStandin

__all__ = [
    "HttpServer",
    "PlatformFaults",
    "PlatformStandin",
    "RawServer",
    "Request",
    "Response",
    "TargetFaults",
    "TargetStandin",
    "json_response",
]
