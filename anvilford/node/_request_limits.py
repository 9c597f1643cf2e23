"""Derives the limits on requests from the size of the machine."""

import attrs

from anvilford.http1 import ListenerLimits
from anvilford.http1 import ReadingTurns
from anvilford.http1 import RefusalReport
from anvilford.http1 import RequestBudget
from anvilford.http1 import SharedBudget
from anvilford.node._settings import NodeSettings
from anvilford.peers import PeerLimits
from anvilford.routing import RequestLimits
from anvilford.telemetry import Counters

# The smallest machines, which are assumed if the settings do not name the size.
SMALLEST_MEMORY_MB = 160
SMALLEST_MAX_DESCRIPTORS = 1638
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Part of the memory for requests. An entry of the smallest size takes 33 MB for
# itself; with 20 MB of requests, and half as much for the allocator and the
# kernel's buffers, it stays under half of its memory.
REQUEST_MEMORY_SHARE = 1 / 8
# Parts of the other descriptors for callers and for peers. Peers are trusted and are
# as many as the site has entries: hundreds at a leader of a large site, whose smaller
# VMs must be able to lead as well. An eighth left room for 179 on the smallest VM.
CALLER_DESCRIPTOR_SHARE = 1 / 2
PEER_DESCRIPTOR_SHARE = 2 / 5
# Part of the callers' connections that may be without a complete request.
INCOMPLETE_SHARE = 1 / 2
# A request larger than this part of the memory for requests could not be served
# beside others.
MAX_REQUEST_SHARE = 1 / 4
# Kernel buffers of a caller's connection, which occupy memory of the machine as
# well. The system would let them grow to megabytes. An ordinary request fits.
RECEIVE_BUFFER_BYTES = 16384
SEND_BUFFER_BYTES = 32768
# Connections to the listeners for readiness and for metrics. The load balancer
# checks once a second.
OPERATOR_CONNECTIONS = 32
# Least bound on the connections of peers: two for each of 43 entries, one of which
# may be left over from before a broken link.
MIN_PEER_CONNECTIONS = 96
# Part of the memory for the largest frame of a peer. The largest messages carry
# one job, or the state of a site of 200 targets, which is below 1 MB.
PEER_FRAME_SHARE = 1 / 64
MAX_PEER_FRAME_BYTES = 8 * 1024 * 1024


def _memory_bytes(settings: NodeSettings) -> int:
    return int((settings.memory_mb or SMALLEST_MEMORY_MB) * 1024 * 1024)


def _free_descriptors(settings: NodeSettings) -> int:
    count = settings.max_descriptors or SMALLEST_MAX_DESCRIPTORS
    return count - FILE_DESCRIPTORS


def request_memory_bytes(settings: NodeSettings) -> int:
    """Returns the memory for all requests, in bytes."""
    return settings.request_memory_bytes or int(
        _memory_bytes(settings) * REQUEST_MEMORY_SHARE
    )


def create_shared_budget(
    settings: NodeSettings, counters: Counters
) -> SharedBudget:
    """Returns what all listeners of an entry share."""
    return SharedBudget(
        RequestBudget(request_memory_bytes(settings)),
        ReadingTurns(settings.incomplete_request_cpu_share),
        RefusalReport(counters),
    )


def caller_limits(settings: NodeSettings) -> ListenerLimits:
    """Returns the limits of the listener for callers."""
    connections = settings.max_caller_connections or int(
        _free_descriptors(settings) * CALLER_DESCRIPTOR_SHARE
    )
    incomplete = settings.max_incomplete_connections or max(
        int(connections * INCOMPLETE_SHARE), 1
    )
    return ListenerLimits(
        max_url_bytes=settings.max_url_bytes,
        request_timeout_s=settings.request_timeout_s,
        min_request_rate=settings.min_request_rate,
        max_unread_answer_bytes=settings.max_unread_answer_bytes,
        unread_answer_timeout_s=settings.unread_answer_timeout_s,
        max_connections=connections,
        max_incomplete_connections=incomplete,
        receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        send_buffer_bytes=SEND_BUFFER_BYTES,
    )


def operator_limits(settings: NodeSettings) -> ListenerLimits:
    """Returns the limits of the listeners for readiness and metrics."""
    return attrs.evolve(
        caller_limits(settings),
        max_connections=OPERATOR_CONNECTIONS,
        max_incomplete_connections=OPERATOR_CONNECTIONS,
    )


def peer_limits(settings: NodeSettings, limits: PeerLimits) -> PeerLimits:
    """Returns limits of the peers' server that fit the machine."""
    connections = int(_free_descriptors(settings) * PEER_DESCRIPTOR_SHARE)
    frame_bytes = int(_memory_bytes(settings) * PEER_FRAME_SHARE)
    return attrs.evolve(
        limits,
        max_connections=max(connections, MIN_PEER_CONNECTIONS),
        max_frame_bytes=min(frame_bytes, MAX_PEER_FRAME_BYTES),
    )


def request_sizes(
    settings: NodeSettings, configured: RequestLimits | None
) -> tuple[int, int]:
    """Returns the largest size of headers and of a body, in bytes.

    Args:
        settings: Settings of the entry.
        configured: Sizes in the operator's configuration, if it is known.
    """
    sizes = configured or RequestLimits()
    largest = int(request_memory_bytes(settings) * MAX_REQUEST_SHARE)
    return min(sizes.header_bytes, largest), min(sizes.body_bytes, largest)
