"""State machine of one entry daemon: events in, effects out, no I/O."""

from anvilford.entry._core import EntryCore
from anvilford.entry._events import AttemptFinished
from anvilford.entry._events import CallPeer
from anvilford.entry._events import ConfigurationReceived
from anvilford.entry._events import DrainRequested
from anvilford.entry._events import Effect
from anvilford.entry._events import Event
from anvilford.entry._events import IncrementCounter
from anvilford.entry._events import LogChange
from anvilford.entry._events import MarksReceived
from anvilford.entry._events import PeerFailed
from anvilford.entry._events import PeerMessage
from anvilford.entry._events import PeerReplied
from anvilford.entry._events import ReadMarks
from anvilford.entry._events import ReplyToPeer
from anvilford.entry._events import RequesterGone
from anvilford.entry._events import Respond
from anvilford.entry._events import RunAttempt
from anvilford.entry._events import SendToPeer
from anvilford.entry._events import StopAttempt
from anvilford.entry._events import Stopped
from anvilford.entry._events import SubmissionRequested
from anvilford.entry._events import TargetMarked
from anvilford.entry._events import Tick
from anvilford.entry._events import VmListReceived
from anvilford.entry._events import WriteMarks
from anvilford.entry._options import CoreOptions

__all__ = [
    "AttemptFinished",
    "CallPeer",
    "ConfigurationReceived",
    "CoreOptions",
    "IncrementCounter",
    "DrainRequested",
    "Effect",
    "EntryCore",
    "Event",
    "LogChange",
    "MarksReceived",
    "PeerFailed",
    "PeerMessage",
    "PeerReplied",
    "ReadMarks",
    "RequesterGone",
    "Respond",
    "ReplyToPeer",
    "RunAttempt",
    "SendToPeer",
    "StopAttempt",
    "Stopped",
    "SubmissionRequested",
    "TargetMarked",
    "Tick",
    "VmListReceived",
    "WriteMarks",
]
