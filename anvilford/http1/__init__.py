"""HTTP/1.1 on the event loop, for the hot path and the platform's calls.

CherryPy and urllib3 serve the product's own interface. On the platform each
request holds its connection until its job has ended, and an entry makes
several calls for each task; a thread for each of them costs more processor
time and memory than the machines have. Parsing is left to `httptools`.
"""

from anvilford.http1._client import CallFailed
from anvilford.http1._client import ClientResponse
from anvilford.http1._client import HttpClient
from anvilford.http1._server import HttpListener
from anvilford.http1._server import ListenerLimits
from anvilford.http1._server import Request
from anvilford.http1._server import Response

__all__ = [
    "ClientResponse",
    "CallFailed",
    "HttpClient",
    "HttpListener",
    "ListenerLimits",
    "Request",
    "Response",
]
