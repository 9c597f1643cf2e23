"""HTTP/1.1 client and server on the asyncio event loop.

They are used for job requests and for calls to the platform and to targets. A
job request holds its connection until the job has ended, and an entry makes
several calls per task. With a thread for each of them, as in CherryPy and
urllib3, processor time and memory of the VMs would not suffice. `httptools`
does the parsing.
"""

from anvilford.http1._budget import ReadingTurns
from anvilford.http1._budget import RequestBudget
from anvilford.http1._client import CallFailed
from anvilford.http1._client import ClientResponse
from anvilford.http1._client import HttpClient
from anvilford.http1._client import ResponseProgress
from anvilford.http1._limits import ListenerLimits
from anvilford.http1._messages import Request
from anvilford.http1._messages import Response
from anvilford.http1._refusals import RefusalReport
from anvilford.http1._server import HttpListener
from anvilford.http1._server import SharedBudget

__all__ = [
    "ClientResponse",
    "CallFailed",
    "HttpClient",
    "HttpListener",
    "ListenerLimits",
    "ReadingTurns",
    "RefusalReport",
    "Request",
    "RequestBudget",
    "Response",
    "ResponseProgress",
    "SharedBudget",
]
