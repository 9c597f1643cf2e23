"""The operators' interface: a CherryPy application."""

import json
import logging
import re
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import attrs
import cherrypy

from anvilford import configuration
from anvilford.http import _operator_port as port_types
from anvilford.http._operator_port import OperatorFailure
from anvilford.http._operator_port import OperatorPort
from anvilford.http._tokens import TokenTable
from anvilford.settings import Principal

_LOGGER = logging.getLogger(__name__)

DEFAULT_SUBMISSIONS = 100
MAX_SUBMISSIONS = 10_000
_OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{8,128}")
_MAX_VERSION_DIGITS = 18

_ERROR_RESPONSES: dict[type, tuple[int, str, str]] = {
    port_types.NotReady: (
        503,
        "not_ready",
        "The entry has no configuration yet.",
    ),
    port_types.EntryUnavailable: (
        503,
        "entry_unavailable",
        "The entry did not answer in time.",
    ),
    port_types.StoreUnavailable: (
        503,
        "store_unavailable",
        "The platform's table cannot be reached; nothing was written.",
    ),
    port_types.WriteUnresolved: (
        504,
        "write_unresolved",
        "It is not known whether the change was accepted; repeat the request "
        "with the same operation id.",
    ),
    port_types.ConfigurationConflict: (
        409,
        "configuration_conflict",
        "Another change was accepted first; nothing was written.",
    ),
    port_types.UnknownTarget: (
        404,
        "unknown_target",
        "No target VM with the id {vm_id} is known.",
    ),
    port_types.UnknownTrace: (
        404,
        "unknown_trace",
        "This entry keeps no span of the trace {trace_id}.",
    ),
}


def operator_application(
    port: OperatorPort,
    operators: Sequence[Principal],
    body_bytes: int = 1024 * 1024,
) -> cherrypy.Application:
    """Creates the operators' WSGI application.

    Args:
        port: Access to the entry.
        operators: Operators and their tokens.
        body_bytes: Largest request body in bytes.

    Returns:
        An application for the operators' listener.
    """
    tokens = TokenTable(operators)

    def authenticate() -> None:
        name = tokens.name_for(cherrypy.request.headers.get("Authorization"))
        if name is None:
            cherrypy.response.headers["WWW-Authenticate"] = "Bearer"
            raise ApiError(401, "unauthorized", "A valid token is required.")
        cherrypy.request.login = name

    application = cherrypy.Application(
        _build_resources(OperatorHandlers(port, body_bytes)),
        "",
        {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "request.error_response": _respond_internal_error,
                "error_page.default": _error_page,
                "hooks.on_start_resource": authenticate,
                "tools.log_tracebacks.on": False,
                "tools.trailing_slash.on": False,
            }
        },
    )
    # Requests are not written to the daemon's log.
    application.log.access_log.propagate = False
    return application


class ApiError(cherrypy.HTTPError):
    """Raised for a request that is answered with a typed JSON error.

    Attributes:
        body: Body of the response: type, message and the error's fields.
    """

    def __init__(self, status: int, kind: str, message: str, **fields: Any):
        super().__init__(status, message)
        self.body = {"type": kind, "message": message, **fields}

    def set_response(self) -> None:
        """Sets status and body of the current response; called by CherryPy."""
        cherrypy.response.status = self.status
        _set_json_body(self.body)


class OperatorHandlers:
    """Handlers of the operators' resources.

    Each returns the body of the response or raises `ApiError`.

    Args:
        port: Access to the entry.
        body_bytes: Largest request body in bytes.
    """

    def __init__(self, port: OperatorPort, body_bytes: int):
        self.port = port
        self.body_bytes = body_bytes

    def status(self) -> bytes:
        """Handles GET /v1/status."""
        return _json_reply(self.port.status())

    def targets(self) -> bytes:
        """Handles GET /v1/targets."""
        return _json_reply(self.port.targets())

    def mark_target(self, vm_id: str, action: str) -> bytes:
        """Handles POST /v1/targets/{id}/drain and /resume."""
        if action not in ("drain", "resume"):
            raise cherrypy.NotFound()
        drained = action == "drain"
        return _json_reply(
            self.port.mark_target(vm_id, drained, cherrypy.request.login)
        )

    def submissions(self, limit: str = str(DEFAULT_SUBMISSIONS)) -> bytes:
        """Handles GET /v1/submissions?limit=n."""
        if not re.fullmatch("[0-9]{1,5}", limit) or not (
            1 <= int(limit) <= MAX_SUBMISSIONS
        ):
            raise _invalid_request(
                "limit", f"an integer from 1 to {MAX_SUBMISSIONS}"
            )
        return _json_reply(self.port.submissions(int(limit)))

    def configuration(self) -> bytes:
        """Handles GET /v1/configuration."""
        return _versioned_reply(self.port.configuration())

    def history(self) -> bytes:
        """Handles GET /v1/configuration/history."""
        return _json_reply(self.port.history())

    def apply_configuration(self) -> bytes:
        """Handles PUT /v1/configuration with If-Match."""
        expected_version = _read_expected_version()
        body = self._read_object({"document", "operation_id"})
        operation_id = _read_operation_id(body)
        parsed = configuration.parse_document(body.get("document"))
        if parsed.is_error():
            raise ApiError(
                400,
                "invalid_document",
                "The configuration document is not valid.",
                failures=[attrs.asdict(failure) for failure in parsed.error],
            )
        return _versioned_reply(
            self.port.apply_configuration(
                parsed.ok,
                expected_version,
                operation_id,
                cherrypy.request.login,
            )
        )

    def use_preset(self) -> bytes:
        """Handles POST /v1/preset."""
        body = self._read_object({"preset", "operation_id"})
        operation_id = _read_operation_id(body)
        presets = [preset.value for preset in configuration.Preset]
        if body.get("preset") not in presets:
            raise _invalid_request("preset", "one of " + ", ".join(presets))
        preset = configuration.Preset(body["preset"])
        return _versioned_reply(
            self.port.use_preset(preset, operation_id, cherrypy.request.login)
        )

    def trace(self, trace_id: str) -> bytes:
        """Handles GET /v1/traces/{id}."""
        return _json_reply(self.port.trace(trace_id))

    def metrics_text(self) -> bytes:
        """Handles GET /metrics."""
        return _text_reply(self.port.metrics_text())

    def metrics_hdr(self) -> bytes:
        """Handles GET /metrics/hdr."""
        return _text_reply(self.port.metrics_hdr())

    def _read_object(self, allowed: set[str]) -> dict[str, Any]:
        length = cherrypy.request.headers.get("Content-Length", "")
        if not (length.isascii() and length.isdigit()):
            raise ApiError(
                411, "length_required", "The Content-Length header is required."
            )
        if int(length) > self.body_bytes:
            raise ApiError(
                413,
                "body_too_large",
                f"The body has {length} bytes; at most {self.body_bytes} are "
                "allowed.",
            )
        text = cherrypy.request.rfile.read(int(length))
        try:
            body = json.loads(text, parse_constant=_reject_constant)
        except (ValueError, RecursionError):
            raise ApiError(
                400, "invalid_json", "The body is not valid JSON."
            ) from None
        if not isinstance(body, dict):
            raise _invalid_request("", "an object")
        for key in sorted(body.keys() - allowed):
            raise _invalid_request(key, "one of " + ", ".join(sorted(allowed)))
        return body


class _Resource:
    """A path for CherryPy's method dispatcher, with one handler per method.

    Attributes:
        exposed: False for a path without handlers, which is answered with 404.
    """

    def __init__(self, **handlers: Callable[..., bytes]):
        self.exposed = bool(handlers)
        for method, handler in handlers.items():
            # CherryPy's dispatcher finds a handler by the attribute that has
            # the name of the HTTP method.
            setattr(self, method.upper(), handler)


def _build_resources(handlers: OperatorHandlers) -> _Resource:
    """Builds the tree of paths; the attributes are the path segments."""
    root = _Resource()
    root.metrics = _Resource(get=handlers.metrics_text)
    root.metrics.hdr = _Resource(get=handlers.metrics_hdr)
    root.v1 = _Resource()
    root.v1.status = _Resource(get=handlers.status)
    root.v1.targets = _Resource(get=handlers.targets, post=handlers.mark_target)
    root.v1.submissions = _Resource(get=handlers.submissions)
    root.v1.configuration = _Resource(
        get=handlers.configuration, put=handlers.apply_configuration
    )
    root.v1.configuration.history = _Resource(get=handlers.history)
    root.v1.preset = _Resource(post=handlers.use_preset)
    root.v1.traces = _Resource(get=handlers.trace)
    return root


def _read_expected_version() -> int:
    """Returns the version in the request's If-Match header."""
    header = cherrypy.request.headers.get("If-Match")
    if header is None:
        raise ApiError(
            428,
            "version_required",
            'The header If-Match: "<version>" is required; "0" creates the '
            "configuration.",
        )
    match = re.fullmatch(f'"([0-9]{{1,{_MAX_VERSION_DIGITS}}})"', header)
    if match is None:
        raise _invalid_request("If-Match", 'a version in quotes, such as "7"')
    return int(match[1])


def _read_operation_id(body: dict[str, Any]) -> str:
    value = body.get("operation_id")
    if not isinstance(value, str) or not _OPERATION_ID_PATTERN.fullmatch(value):
        raise _invalid_request(
            "operation_id",
            "8 to 128 letters, digits, dots, dashes or underscores",
        )
    return value


def _invalid_request(path: str, allowed: str) -> ApiError:
    return ApiError(
        400,
        "invalid_request",
        f"{path or 'The body'} must be {allowed}.",
        path=path,
        allowed=allowed,
    )


def _raise_on_failure(result: Any) -> Any:
    """Returns a result of the port; raises `ApiError` for a failure."""
    if isinstance(result, OperatorFailure):
        status, kind, message = _ERROR_RESPONSES[type(result)]
        fields = attrs.asdict(result)
        raise ApiError(status, kind, message.format(**fields), **fields)
    return result


def _json_reply(result: dict[str, Any] | OperatorFailure) -> bytes:
    return _set_json_body(_raise_on_failure(result))


def _versioned_reply(result: dict[str, Any] | OperatorFailure) -> bytes:
    """Sets the JSON response and its ETag, the configuration's version."""
    body = _set_json_body(_raise_on_failure(result))
    cherrypy.response.headers["ETag"] = f'"{result["version"]}"'
    return body


def _text_reply(result: str | OperatorFailure) -> bytes:
    body = _raise_on_failure(result).encode()
    cherrypy.response.headers["Content-Type"] = "text/plain; charset=utf-8"
    return body


def _set_json_body(body: dict[str, Any]) -> bytes:
    encoded = json.dumps(body, separators=(",", ":")).encode()
    response = cherrypy.response
    response.headers["Content-Type"] = "application/json"
    response.headers["Content-Length"] = str(len(encoded))
    response.body = encoded
    return encoded


def _error_page(status: str, message: str, traceback: str, version: str) -> str:
    """Returns JSON for CherryPy's own errors, such as 404, instead of HTML."""
    del traceback, version
    cherrypy.response.headers["Content-Type"] = "application/json"
    code, _, phrase = status.partition(" ")
    kind = {"404": "not_found", "405": "method_not_allowed"}.get(
        code, "http_error"
    )
    return json.dumps({"type": kind, "message": message or phrase})


def _respond_internal_error() -> None:
    _LOGGER.exception("operator request failed with an internal error")
    cherrypy.response.status = 500
    _set_json_body(
        {
            "type": "internal_error",
            "message": "Internal error; the entry's log has the details.",
        }
    )


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")
