"""Typed failures of calls to the platform."""

import attrs

from anvilford.tables._records import Row


@attrs.frozen
class PlatformUnavailable:
    """The platform could not be reached, or reported an outage.

    Attributes:
        sent: False if no connection was established, which proves that a
            write had no effect.
    """

    sent: bool


@attrs.frozen
class PlatformTimeout:
    """No answer in time; a write may have taken effect, or may do so later."""


@attrs.frozen
class BadPlatformResponse:
    """The answer does not follow the platform's protocol.

    Attributes:
        status: HTTP status, 0 if none was read.
        problem: What the answer should have been.
    """

    status: int
    problem: str


@attrs.frozen
class VersionConflict:
    """A conditional write found another version and had no effect.

    Attributes:
        row: The row as it was found, None if there was none.
    """

    row: Row | None


PlatformFailure = PlatformUnavailable | PlatformTimeout | BadPlatformResponse
