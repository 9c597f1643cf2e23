"""TCP connections between entry daemons: framing, server, outgoing links."""

from anvilford.peers._links import PeerLinks
from anvilford.peers._server import PeerServer
from anvilford.peers._types import CounterSink
from anvilford.peers._types import MessageHandler
from anvilford.peers._types import PeerFailure
from anvilford.peers._types import PeerLimits
from anvilford.peers._types import PeerLost
from anvilford.peers._types import PeerRefused
from anvilford.peers._types import PeerTimeout
from anvilford.peers._types import RefusedReason

__all__ = [
    "CounterSink",
    "MessageHandler",
    "PeerFailure",
    "PeerLimits",
    "PeerLinks",
    "PeerLost",
    "PeerRefused",
    "PeerServer",
    "PeerTimeout",
    "RefusedReason",
]
