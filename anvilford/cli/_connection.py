"""Finds the addresses and the token of a command, and sends its requests."""

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

CONNECT_TIMEOUT_S = 2.0

# A daemon answers a write after at most two timeouts of the platform store (the
# write and reading it back), which are 2 s each by default.
READ_TIMEOUT_S = 10.0

MAX_WRITE_ROUNDS = 3
WRITE_RETRY_DELAY_S = 0.5

# Error types after which the request is sent to the next address: this entry
# cannot answer, but another entry may be able to.
_TRY_NEXT_ENTRY_TYPES = {"not_ready", "store_unavailable"}
# Error types after which a write may have been carried out.
_OUTCOME_UNKNOWN_TYPES = {
    "write_unresolved",
    "entry_unavailable",
    "internal_error",
}

_PROFILE_KEYS = {"addresses", "token", "callers_addresses", "callers_token"}


@attrs.frozen
class Reply:
    """Complete response with a JSON object as its body.

    Attributes:
        status: HTTP status.
        body: Decoded body.
    """

    status: int
    body: dict[str, Any]


@attrs.frozen
class NotSent:
    """The connection failed, so the request was certainly not carried out.

    Attributes:
        address: Address of the daemon, "IP:port".
    """

    address: str


@attrs.frozen
class NoUsableReply:
    """No complete JSON response arrived; the request may have been executed.

    Attributes:
        address: Address of the daemon, "IP:port".
    """

    address: str


@attrs.frozen
class Connection:
    """Daemons that a command sends its requests to.

    Attributes:
        addresses: Addresses of the daemons, each "IP:port", in the order in
            which they are tried.
        token: Bearer token of all requests.
        session: Run of the command that sends the requests.
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
        read_timeout: float = READ_TIMEOUT_S,
    ) -> Reply | NotSent | NoUsableReply:
        """Sends one request to one daemon.

        Args:
            address: Address of the daemon, "IP:port".
            method: HTTP method.
            path: Path and query.
            body: JSON value of the body, or None for no body.
            headers: Further headers.
            read_timeout: Longest wait for data of the response, in seconds; at
                least 0.1 s are allowed.

        Returns:
            `Reply` for a response of any status with a JSON object, `NotSent`
            if the connection failed, otherwise `NoUsableReply`.
        """
        authorization = {"Authorization": f"Bearer {self.token}"}
        try:
            response = self.session.pool.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=authorization | dict(headers or {}),
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=max(read_timeout, 0.1)
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
            return NoUsableReply(address)
        if not isinstance(decoded, dict):
            return NoUsableReply(address)
        return Reply(response.status, decoded)

    def read(self, path: str) -> dict[str, Any]:
        """Reads a resource from the first daemon that can answer.

        Args:
            path: Path and query.

        Returns:
            Body of the response with status 200.

        Raises:
            CommandError: A daemon refused the request, or none answered.
        """
        refusal = None
        for address in self.addresses:
            match self.send(address, "GET", path):
                case Reply(200, body):
                    return body
                case Reply() as reply:
                    refusal = reply
                    if (
                        reply.body.get("type")
                        not in _TRY_NEXT_ENTRY_TYPES | _OUTCOME_UNKNOWN_TYPES
                    ):
                        break
        raise refusal_error(refusal) if refusal else self.unreachable_error()

    def write(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Sends an idempotent change until its outcome is known.

        While the outcome is unknown, the request is repeated at all addresses,
        up to `MAX_WRITE_ROUNDS` times at each. Repeating a change of the
        configuration is safe because every request carries the same operation
        id.

        Args:
            method: HTTP method.
            path: Path.
            body: JSON object of the body, or None for no body.
            headers: Further headers.

        Returns:
            Body of the response with status 200.

        Raises:
            CommandError: A daemon refused the change, its outcome remains
                unknown, or no daemon could be reached.
        """
        refusal = None
        unresolved = False
        for attempt in range(MAX_WRITE_ROUNDS):
            if attempt:
                self.session.context.sleep(WRITE_RETRY_DELAY_S)
            for address in self.addresses:
                match self.send(address, method, path, body, headers):
                    case Reply(200, accepted):
                        return accepted
                    case Reply(status, reply_body) as reply:
                        kind = reply_body.get("type")
                        if kind in _OUTCOME_UNKNOWN_TYPES:
                            unresolved = True
                        elif kind in _TRY_NEXT_ENTRY_TYPES:
                            refusal = reply
                        elif status == 409 or not unresolved:
                            raise refusal_error(reply)
                    case NoUsableReply():
                        unresolved = True
            if not unresolved:
                raise refusal_error(
                    refusal
                ) if refusal else self.unreachable_error()
        raise _unresolved_write_error(body or {})

    def unreachable_error(self) -> CommandError:
        """Returns the error for the case that no address answered."""
        return CommandError(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"No answer from {', '.join(self.addresses)}.",
            addresses=list(self.addresses),
        )


def refusal_error(reply: Reply) -> CommandError:
    """Converts an error response of a daemon into the error of the command.

    Args:
        reply: Response with a status other than 200.

    Returns:
        Error with the type, message and details of the response. Its exit code
        is 4 for a conflict of configuration changes, otherwise 1.
    """
    details = dict(reply.body)
    kind = str(details.pop("type", "bad_response"))
    message = str(
        details.pop(
            "message", f"The daemon answered with HTTP status {reply.status}."
        )
    )
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


def _unresolved_write_error(body: Mapping[str, Any]) -> CommandError:
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
    """Determines the addresses and the token for the requests of a command.

    Options take precedence over the profile, and the profile takes precedence
    over the environment.

    Args:
        arguments: Parsed command line.
        session: Run of the command.
        callers: True for the callers' listeners, False for the operators'.

    Returns:
        The connection. Nothing has been sent yet.

    Raises:
        CommandError: No address or no token is given, or an address or the
            profile is malformed.
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
        raise usage_error(
            f"No address is given; use --address, --profile or {variable}."
        )
    if not token:
        raise usage_error(
            "No token is given; use --token, --profile or ANVILCTL_TOKEN."
        )
    for address in addresses:
        if parse_address(address) is None:
            raise usage_error(
                f"{address!r} is not an address; expected IP:port, for example "
                "10.0.0.1:7101."
            )
    return Connection(tuple(addresses), token, session)


def usage_error(message: str) -> CommandError:
    """Returns the error for invalid arguments, environment or files."""
    return CommandError(ExitCode.USAGE, "usage", message)


def read_json(path: str) -> Any:
    """Reads a JSON file named on the command line.

    Args:
        path: Path of the file.

    Returns:
        The decoded value.

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
        raise usage_error(
            f"{path} must be a JSON object with no other keys than {keys}."
        )
    for key, value in profile.items():
        values = value if key.endswith("addresses") else [value]
        if not isinstance(values, list) or not all(
            isinstance(item, str) for item in values
        ):
            raise usage_error(
                f"{path}: {key} has the wrong type; tokens must be strings, "
                "and addresses must be lists of strings."
            )
    return profile
