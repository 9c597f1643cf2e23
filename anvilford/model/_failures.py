"""Typed failures that pass between packages."""

import attrs


@attrs.frozen
class InvalidSubmissionId:
    """The text is not a submission id."""


@attrs.frozen
class InvalidJob:
    """The job in a request cannot be accepted as written.

    Attributes:
        path: Where in the body, e.g. "tasks/3/operation".
        expected: What is allowed there.
    """

    path: str
    expected: str
