"""Submission ids: which daemon process may start the tasks of a submission."""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.model._failures import InvalidSubmissionId

FIELD_SEPARATOR = "~"
MAX_ID_CHARACTERS = 256


@attrs.frozen
class Incarnation:
    """Identity of one run of an entry daemon.

    Attributes:
        zone: Availability zone of the VM.
        address: Peer address, "IP:port".
        token: Random per process; a restarted daemon gets a new one.
    """

    zone: str
    address: str
    token: str


@attrs.frozen
class SubmissionId:
    """Id of one submission; only `owner` may start its tasks.

    Attributes:
        owner: The daemon process that issued the id.
        sequence: Counts the ids issued by the owner, from 0.
        tag: HMAC that binds the id to the caller it was issued to.
    """

    owner: Incarnation
    sequence: int
    tag: str

    def __str__(self) -> str:
        return FIELD_SEPARATOR.join(
            (
                self.owner.zone,
                self.owner.address,
                self.owner.token,
                str(self.sequence),
                self.tag,
            )
        )


def parse_submission_id(
    text: str,
) -> Result[SubmissionId, InvalidSubmissionId]:
    """Parses the textual form used in paths and messages.

    Args:
        text: Five fields joined by `SEPARATOR`.

    Returns:
        The id, or `InvalidSubmissionId` when the text has another form.
    """
    parts = text.split(FIELD_SEPARATOR)
    if len(text) > MAX_ID_CHARACTERS or len(parts) != 5 or not all(parts):
        return Error(InvalidSubmissionId())
    zone, address, token, sequence, tag = parts
    if not (sequence.isascii() and sequence.isdigit()):
        return Error(InvalidSubmissionId())
    return Ok(
        SubmissionId(Incarnation(zone, address, token), int(sequence), tag)
    )
