"""The inner protocol between entry daemons: messages and their encoding."""

from anvilford.protocol._messages import ConfigurationReply
from anvilford.protocol._messages import ConfigurationRequest
from anvilford.protocol._messages import EntryInfo
from anvilford.protocol._messages import ForwardReply
from anvilford.protocol._messages import ForwardSubmission
from anvilford.protocol._messages import Gossip
from anvilford.protocol._messages import HandoverAck
from anvilford.protocol._messages import HandoverChunk
from anvilford.protocol._messages import HandoverRecord
from anvilford.protocol._messages import HandoverSeal
from anvilford.protocol._messages import Hello
from anvilford.protocol._messages import LoadReport
from anvilford.protocol._messages import Mark
from anvilford.protocol._messages import Message
from anvilford.protocol._messages import RequestKind
from anvilford.protocol._messages import Successor
from anvilford.protocol._messages import VmInfo
from anvilford.protocol._messages import VmRole
from anvilford.protocol._messages import VmState

__all__ = [
    "ConfigurationReply",
    "ConfigurationRequest",
    "EntryInfo",
    "ForwardReply",
    "ForwardSubmission",
    "Gossip",
    "HandoverAck",
    "HandoverChunk",
    "HandoverRecord",
    "HandoverSeal",
    "Hello",
    "LoadReport",
    "Mark",
    "Message",
    "RequestKind",
    "Successor",
    "VmInfo",
    "VmRole",
    "VmState",
]
