"""Addresses and tokens of a command, and requests to daemons."""

import argparse
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs
import urllib3

from anvilford.cli._context import CommandError
from anvilford.cli._context import ExitCode
from anvilford.cli._context import Session
from anvilford.settings import parse_address

CONNECT_TIMEOUT = 2.0

# A daemon answers a write after at most two platform timeouts (write and
# read back), by default 2 s each.
READ_TIMEOUT = 10.0

WRITE_ROUNDS = 3
WRITE_PAUSE = 0.5

# Another entry may be able to answer what this one cannot.
_NOT_HERE = {"not_ready", "store_unavailable"}
_UNRESOLVED = {"write_unresolved", "entry_unavailable", "internal_error"}

_PROFILE_KEYS = {"addresses", "token", "callers_addresses", "callers_token"}


@attrs.frozen
class Reply:
    """A complete response with a JSON body.

    Attributes:
        status: HTTP status.
        body: JSON object.
    """

    status: int
    body: dict[str, Any]


@attrs.frozen
class NotSent:
    """No connection could be made."""

    address: str


@attrs.frozen
class Lost:
    """The request may have been carried out; no usable answer came."""

    address: str


@attrs.frozen
class Connection:
    """Where a command sends its requests.

    Attributes:
        addresses: Daemons, each "IP:port", in order of preference.
        token: Bearer token.
        session: The run of the command.
    """

    addresses: tuple[str, ...]
    token: str = attrs.field(repr=False)
    session: Session

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        read_timeout: float = READ_TIMEOUT,
    ) -> Reply | NotSent | Lost:
        """Sends one request to one daemon.

        Args:
            address: The daemon.
            method: HTTP method.
            path: Path and query.
            body: JSON value, or None for no body.
            headers: Further headers.
            read_timeout: Longest wait for the response, in seconds.

        Returns:
            The reply, or what is known if there is none.
        """
        authorization = {"Authorization": f"Bearer {self.token}"}
        try:
            response = self.session.pool.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=authorization | dict(headers or {}),
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT, read=max(read_timeout, 0.1)
                ),
                retries=False,
                redirect=False,
            )
            decoded = json.loads(response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return NotSent(address)
        except (urllib3.exceptions.HTTPError, ValueError, RecursionError):
            return Lost(address)
        if not isinstance(decoded, dict):
            return Lost(address)
        return Reply(response.status, decoded)

    def read(self, path: str) -> dict[str, Any]:
        """Reads a resource from the first daemon that can answer.

        Args:
            path: Path and query.

        Returns:
            JSON body of the answer.

        Raises:
            CommandError: Refused, or no daemon answered.
        """
        refusal = None
        for address in self.addresses:
            match self.send(address, "GET", path):
                case Reply(200, body):
                    return body
                case Reply() as reply:
                    refusal = reply
                    if reply.body.get("type") not in _NOT_HERE | _UNRESOLVED:
                        break
        raise refused(refusal) if refusal else self.unreachable()

    def write(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Sends a change that may be repeated safely.

        Repeats it, also at other daemons, while its outcome is not known. A
        change of the configuration is safe to repeat because the body carries
        an operation id, and it stays the same.

        Args:
            method: HTTP method.
            path: Path.
            body: JSON object.
            headers: Further headers.

        Returns:
            JSON body of the answer.

        Raises:
            CommandError: Refused, outcome unknown, or no daemon answered.
        """
        refusal = None
        unresolved = False
        for attempt in range(WRITE_ROUNDS):
            if attempt:
                self.session.context.sleep(WRITE_PAUSE)
            for address in self.addresses:
                match self.send(address, method, path, body, headers):
                    case Reply(200, accepted):
                        return accepted
                    case Reply(status, reply_body) as reply:
                        kind = reply_body.get("type")
                        if kind in _UNRESOLVED:
                            unresolved = True
                        elif kind in _NOT_HERE:
                            refusal = reply
                        elif status == 409 or not unresolved:
                            raise refused(reply)
                    case Lost():
                        unresolved = True
            if not unresolved:
                raise refused(refusal) if refusal else self.unreachable()
        raise _unresolved(body or {})

    def unreachable(self) -> CommandError:
        """Returns the error for daemons that all failed to answer."""
        return CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"No answer from {', '.join(self.addresses)}.",
            addresses=list(self.addresses),
        )


def refused(reply: Reply) -> CommandError:
    """Turns a daemon's typed error into the error of the command.

    Args:
        reply: Response that is not a success.
    """
    details = dict(reply.body)
    kind = str(details.pop("type", "bad_response"))
    message = str(details.pop("message", f"HTTP status {reply.status}."))
    code = ExitCode.REFUSED
    if kind == "configuration_conflict":
        code = ExitCode.CONFLICT
        message = (
            f"{message} Version {details['version']} (preset "
            f"{details['preset']}) is by {details['author']}."
        )
    for failure in details.get("failures", ()):
        message += f"\n  {failure['path']}: must be {failure['allowed']}"
    return CommandError(code, kind, message, **details)


def _unresolved(body: Mapping[str, Any]) -> CommandError:
    operation_id = body.get("operation_id")
    message = "It is not known whether the change was accepted."
    if operation_id:
        message += f" Repeat it with --operation-id {operation_id}."
    return CommandError(
        ExitCode.UNKNOWN,
        "write_unresolved",
        message,
        operation_id=operation_id,
    )


def connect(
    arguments: argparse.Namespace, session: Session, callers: bool = False
) -> Connection:
    """Finds addresses and token among options, profile and environment.

    Args:
        arguments: Parsed command line.
        session: The run of the command.
        callers: True for the callers' interface, False for the operators'.

    Returns:
        The connection; nothing is sent yet.

    Raises:
        CommandError: A value is missing or has the wrong form.
    """
    environ = session.context.environ
    profile = _read_profile(getattr(arguments, "profile", None))
    prefix = "callers_" if callers else ""
    variable = "ANVILCTL_CALLERS_ADDRESS" if callers else "ANVILCTL_ADDRESS"
    listed = environ.get(variable, "").replace(",", " ").split()
    addresses = (
        getattr(arguments, "address", None)
        or profile.get(f"{prefix}addresses")
        or listed
    )
    token = (
        getattr(arguments, "token", None)
        or profile.get(f"{prefix}token")
        or environ.get("ANVILCTL_TOKEN")
    )
    if not addresses:
        raise usage_error(f"Give --address, --profile or {variable}.")
    if not token:
        raise usage_error("Give --token, --profile or ANVILCTL_TOKEN.")
    for address in addresses:
        if parse_address(address) is None:
            raise usage_error(f"{address!r} is not an address IP:port.")
    return Connection(tuple(addresses), token, session)


def usage_error(message: str) -> CommandError:
    """Returns the error for arguments that cannot be used."""
    return CommandError(ExitCode.USAGE, "usage", message)


def read_json(path: str) -> Any:
    """Reads a JSON file named on the command line.

    Raises:
        CommandError: The file cannot be read or is not JSON.
    """
    try:
        return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise usage_error(f"Cannot read {path}: {error}") from None


def _read_profile(path: str | None) -> dict[str, Any]:
    if path is None:
        return {}
    profile = read_json(path)
    if not isinstance(profile, dict) or profile.keys() - _PROFILE_KEYS:
        keys = ", ".join(sorted(_PROFILE_KEYS))
        raise usage_error(f"{path} must be an object with the keys {keys}.")
    for key, value in profile.items():
        values = value if key.endswith("addresses") else [value]
        if not isinstance(values, list) or not all(
            isinstance(item, str) for item in values
        ):
            raise usage_error(f"{path}: {key} has the wrong type.")
    return profile
