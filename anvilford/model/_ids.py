"""Submission ids, which name the daemon process that may start the tasks."""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from anvilford.model._failures import InvalidSubmissionId

FIELD_SEPARATOR = "~"
MAX_ID_CHARACTERS = 256


@attrs.frozen
class Incarnation:
    """Identity of one process of an entry daemon.

    Attributes:
        zone: Availability zone of the VM.
        address: Address for messages between entries, "IP:port".
        token: Random string drawn at the start of the process, so that a
            restarted daemon has a new one.
    """

    zone: str
    address: str
    token: str


@attrs.frozen
class SubmissionId:
    """Id of a submission; only its owner may start the tasks.

    Attributes:
        owner: Daemon process that issued the id.
        sequence: Sequence number of the id among those that the owner issued,
            starting at 0.
        tag: HMAC that binds the id to the caller to which it was issued.
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
    """Parses the text form of a submission id, as `str` produces it.

    Args:
        text: Zone, address, token, sequence and tag, joined by
            `FIELD_SEPARATOR`.

    Returns:
        The id, or `InvalidSubmissionId` when the text is too long, a field is
        missing or empty, or the sequence is not a decimal number.
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
