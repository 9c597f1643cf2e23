"""Small doubles of the platform and of a target, for tests and benchmarks."""

from standins._http import HttpServer
from standins._platform import PlatformFaults
from standins._platform import PlatformStandin
from standins._target import TargetFaults
from standins._target import TargetStandin

__all__ = [
    "HttpServer",
    "PlatformFaults",
    "PlatformStandin",
    "TargetFaults",
    "TargetStandin",
]
