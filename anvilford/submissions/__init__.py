"""Records of submissions, which make each submission id run at most once.

`Ledger` holds the records of this daemon process. `AdoptedRecords` holds
finished records handed over by daemons that have stopped.
"""

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
