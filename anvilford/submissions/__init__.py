"""Records of submissions: who may start them and what became of them."""

from anvilford.submissions._adopted import AdoptedOwner
from anvilford.submissions._adopted import AdoptedRecords
from anvilford.submissions._adopted import handover_chunks
from anvilford.submissions._ledger import Accepted
from anvilford.submissions._ledger import Finished
from anvilford.submissions._ledger import InFlight
from anvilford.submissions._ledger import Ledger
from anvilford.submissions._ledger import Record
from anvilford.submissions._ledger import Rejected
from anvilford.submissions._ledger import RetentionLimits
from anvilford.submissions._ledger import Unsubmitted

__all__ = [
    "Accepted",
    "AdoptedOwner",
    "AdoptedRecords",
    "Finished",
    "InFlight",
    "Ledger",
    "Record",
    "Rejected",
    "RetentionLimits",
    "Unsubmitted",
    "handover_chunks",
]
