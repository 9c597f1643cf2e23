"""Failures of calls to the platform."""

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
    """No response within the timeout.

    A write may have taken effect, or may still do so.
    """


@attrs.frozen
class BadPlatformResponse:
    """The response does not follow the platform's protocol.

    Attributes:
        status: HTTP status; 0 if none was received.
        problem: What is wrong with the response and what was expected.
    """

    status: int
    problem: str


@attrs.frozen
class VersionConflict:
    """A conditional write had no effect because the version differs.

    Attributes:
        row: Current row, or None if the table has no row with this key.
    """

    row: Row | None


PlatformFailure = PlatformUnavailable | PlatformTimeout | BadPlatformResponse
