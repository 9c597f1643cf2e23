"""Protocol between entry daemons: message classes and their encoding."""

from anvilford.protocol._codec import AccelerationMissingError
from anvilford.protocol._codec import decode
from anvilford.protocol._codec import encode
from anvilford.protocol._codec import Envelope
from anvilford.protocol._codec import FrameFault
from anvilford.protocol._codec import MalformedFrame
from anvilford.protocol._codec import MAX_ELEMENTS
from anvilford.protocol._codec import require_acceleration
from anvilford.protocol._messages import CancelJob
from anvilford.protocol._messages import CancelJobReply
from anvilford.protocol._messages import ConfigurationReply
from anvilford.protocol._messages import ConfigurationRequest
from anvilford.protocol._messages import EntryInfo
from anvilford.protocol._messages import EvacuatedZone
from anvilford.protocol._messages import EvacuationReport
from anvilford.protocol._messages import ForwardReply
from anvilford.protocol._messages import ForwardSubmission
from anvilford.protocol._messages import Gossip
from anvilford.protocol._messages import HandoverAck
from anvilford.protocol._messages import HandoverChunk
from anvilford.protocol._messages import HandoverRecord
from anvilford.protocol._messages import HandoverSeal
from anvilford.protocol._messages import Heartbeat
from anvilford.protocol._messages import HeartbeatReply
from anvilford.protocol._messages import Hello
from anvilford.protocol._messages import LeaderAnnounced
from anvilford.protocol._messages import LeaderQuery
from anvilford.protocol._messages import LoadReport
from anvilford.protocol._messages import Mark
from anvilford.protocol._messages import Message
from anvilford.protocol._messages import RequestKind
from anvilford.protocol._messages import Successor
from anvilford.protocol._messages import TargetLossReport
from anvilford.protocol._messages import VmInfo
from anvilford.protocol._messages import VmRole
from anvilford.protocol._messages import VmState
from anvilford.protocol._messages import WithdrawJob

__all__ = [
    "AccelerationMissingError",
    "CancelJob",
    "CancelJobReply",
    "ConfigurationReply",
    "ConfigurationRequest",
    "EntryInfo",
    "Envelope",
    "EvacuatedZone",
    "EvacuationReport",
    "ForwardReply",
    "ForwardSubmission",
    "FrameFault",
    "Gossip",
    "HandoverAck",
    "HandoverChunk",
    "HandoverRecord",
    "HandoverSeal",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "LeaderAnnounced",
    "LeaderQuery",
    "LoadReport",
    "MAX_ELEMENTS",
    "MalformedFrame",
    "Mark",
    "Message",
    "RequestKind",
    "Successor",
    "TargetLossReport",
    "VmInfo",
    "VmRole",
    "VmState",
    "WithdrawJob",
    "decode",
    "encode",
    "require_acceleration",
]
