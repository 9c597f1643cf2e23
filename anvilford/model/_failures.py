"""Parse failures that are returned as values."""

import attrs


@attrs.frozen
class InvalidSubmissionId:
    """The text does not have the form of a submission id."""


@attrs.frozen
class InvalidJob:
    """The job in a request violates the job format or a limit.

    Attributes:
        path: Location of the violation in the body, such as
            "tasks/3/operation"; empty for the body as a whole.
        expected: Description of the allowed values, which completes the
            sentence "must be ...".
    """

    path: str
    expected: str
