"""A fake entry with scripted failures for tests of the operators' interface."""

import collections
import contextlib
import copy
import json
import pathlib
import threading
from collections.abc import Iterator

import cherrypy
from cheroot import wsgi

from anvilford import configuration
from anvilford import http
from anvilford.settings import Principal

TOKEN = "operator-token-0123456789"
OPERATORS = (Principal("ana", TOKEN), Principal("bea", "second-" + TOKEN))
TRACE_ID = "ab" * 16
CANNED = json.loads(
    pathlib.Path(__file__).with_name("operator_fake.json").read_text("utf-8")
)


class FakeEntry:
    """Implements `http.OperatorPort` on a configuration row in memory.

    Attributes:
        row: The accepted configuration.
        failures: Lists of failures by the name of the method that returns or
            raises them ("status", "change", "metrics_hdr"); each is used once,
            in order.
        lost_answers: Number of further writes that take effect but report
            `WriteUnresolved`.
        lagging: By VM id, the number of further reads of the status in which
            the VM reports version 1 instead of the newest version.
        unreachable: VM ids that the status reports as not reachable.
        drained: VM ids of the drained targets.
        calls: Calls that change something, each as (operation id or VM id,
            author).
    """

    def __init__(self):
        self.row = None
        self.failures = collections.defaultdict(list)
        self.lost_answers = 0
        self.lagging = {}
        self.unreachable = set()
        self.drained = set()
        self.calls = []
        self.write({"preset": "ordinary", "services": {"line-brain": {}}})

    def write(self, document, operation_id="operation-0", author="setup"):
        """Stores a change as the next version; returns its history entry."""
        version = self.row.version + 1 if self.row else 1
        document = configuration.parse_document(document).ok
        value = configuration.next_row_value(
            self.row, document, operation_id, author
        )
        self.row = configuration.parse_row(version, value).ok
        return value["history"][-1]

    def status(self):
        """See `http.OperatorPort`."""
        if self.failures["status"]:
            return self.failures["status"].pop(0)
        status = copy.deepcopy(CANNED["status"])
        status["configuration"] = self.in_force()
        for vm in status["vms"]:
            vm_id = vm["vm_id"]
            late = self.lagging.get(vm_id, 0)
            self.lagging[vm_id] = late - 1
            vm["configuration_version"] = 1 if late > 0 else self.row.version
            vm["reachable"] = vm_id not in self.unreachable
        return status

    def targets(self):
        """See `http.OperatorPort`."""
        return {
            "targets": [
                target | {"drained": target["vm_id"] in self.drained}
                for target in CANNED["targets"]
            ]
        }

    def submissions(self, limit):
        """See `http.OperatorPort`."""
        return {"total": 3, "submissions": CANNED["submissions"][:limit]}

    def configuration(self):
        """See `http.OperatorPort`."""
        document = configuration.encode_document(self.row.document)
        return self.in_force() | {"document": document}

    def history(self):
        """See `http.OperatorPort`."""
        value = configuration.encode_row(self.row)
        return {"version": self.row.version, "history": value["history"][::-1]}

    def apply_configuration(
        self, document, expected_version, operation_id, author
    ):
        """See `http.OperatorPort`."""
        document = configuration.encode_document(document)
        return self.change(document, expected_version, operation_id, author)

    def use_preset(self, preset, operation_id, author):
        """See `http.OperatorPort`."""
        document = configuration.encode_document(self.row.document)
        document["preset"] = preset
        return self.change(document, self.row.version, operation_id, author)

    def change(self, document, expected_version, operation_id, author):
        """Writes a document by compare-and-set unless a failure is scripted."""
        self.calls.append((operation_id, author))
        if self.failures["change"]:
            return self.failures["change"].pop(0)
        found = self.row.find_operation(operation_id)
        if found:
            return self.in_force() | {"version": found.version}
        if expected_version != self.row.version:
            return http.ConfigurationConflict(
                self.row.version,
                self.row.author,
                self.row.operation,
                self.row.document.preset,
            )
        accepted = self.write(document, operation_id, author)
        if self.lost_answers:
            self.lost_answers -= 1
            return http.WriteUnresolved(operation_id)
        return accepted

    def mark_target(self, vm_id, drained, author):
        """See `http.OperatorPort`."""
        if vm_id not in ("t-1", "t-2"):
            return http.UnknownTarget(vm_id)
        self.calls.append((vm_id, author))
        (self.drained.add if drained else self.drained.discard)(vm_id)
        return {"vm_id": vm_id, "drained": drained}

    def trace(self, trace_id):
        """See `http.OperatorPort`."""
        if trace_id != TRACE_ID:
            return http.UnknownTrace(trace_id)
        return {"trace_id": trace_id, "spans": CANNED["spans"]}

    def metrics_text(self):
        """See `http.OperatorPort`."""
        return "starts_total 3\n"

    def metrics_hdr(self):
        """See `http.OperatorPort`; raises the scripted exception, if any."""
        if self.failures["metrics_hdr"]:
            raise self.failures["metrics_hdr"].pop(0)
        return "#[Histogram log]\n"

    def in_force(self):
        """Returns version, preset, author and operation of the row."""
        return {
            "version": self.row.version,
            "preset": self.row.document.preset,
            "author": self.row.author,
            "operation": self.row.operation,
        }


@contextlib.contextmanager
def serve(application) -> Iterator[str]:
    """Serves a WSGI application on a free loopback port.

    Yields:
        The address, "IP:port".
    """
    cherrypy.config.update({"log.screen": False})
    server = wsgi.Server(("127.0.0.1", 0), application, numthreads=4)
    # `stop` waits for one interval; the default of 0.5 s slows the tests down.
    server.expiration_interval = 0.05
    server.shutdown_timeout = 1
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.bind_addr[1]}"
    finally:
        server.stop()
        thread.join(5)
