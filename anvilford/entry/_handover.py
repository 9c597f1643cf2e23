"""Transfer of finished submissions to a peer during a planned stop."""

import attrs

from anvilford.entry._events import CallPeer
from anvilford.entry._events import Effect
from anvilford.entry._events import HandoverCall
from anvilford.protocol import HandoverChunk
from anvilford.protocol import HandoverSeal
from anvilford.submissions import AdoptedRecords
from anvilford.submissions import handover_chunks
from anvilford.submissions import Ledger


def build_handover_messages(
    ledger: Ledger, adoptions: AdoptedRecords
) -> list[HandoverChunk | HandoverSeal]:
    """Builds the messages that transfer all finished records.

    These are the records of this process and those it adopted from stopped
    daemons. The records of each owner are followed by its seal. The seal of an
    owner whose records never arrived completely still says so.

    Args:
        ledger: Submissions that this process owns.
        adoptions: Records of stopped daemons that this process holds.
    """
    messages: list[HandoverChunk | HandoverSeal] = []
    messages += handover_chunks(ledger.owner, ledger.store)
    messages.append(
        HandoverSeal(
            ledger.owner,
            ledger.store.floor,
            ledger.store.next_sequence,
            ledger.tag_key,
            counter=1,
            complete=True,
        )
    )
    for adopted in adoptions.owners.values():
        if adopted.seal is None:
            continue
        messages += handover_chunks(adopted.owner, adopted.store)
        messages.append(
            attrs.evolve(
                adopted.seal,
                floor=adopted.store.floor,
                counter=adopted.seal.counter + 1,
            )
        )
    return messages


class Handover:
    """Sends handover messages to one peer after another.

    A peer that rejects a message or does not reply is dropped, and the
    transfer starts again with the next one.

    Attributes:
        messages: Messages to transfer, in order.
        candidates: Addresses of the peers that remain, in order of preference;
            the first one is in use.
        timeout: Longest wait for one reply, in seconds.
        message_index: Index of the message that awaits its reply.
        call_number: Number of the call that awaits its reply; replies to
            earlier calls are ignored.
        finished: True once a peer accepted all messages or none is left.
        holder: Address of the peer that accepted all messages; empty if none
            did.
    """

    def __init__(
        self,
        messages: list[HandoverChunk | HandoverSeal],
        candidates: list[str],
        timeout: float,
    ):
        self.messages = messages
        self.candidates = candidates
        self.timeout = timeout
        self.message_index = 0
        self.call_number = 0
        self.finished = False
        self.holder = ""

    def start_transfer(self) -> list[Effect]:
        """Sends the first message to the first remaining candidate."""
        self.message_index = 0
        if not self.candidates:
            self.finished = True
            return []
        return self._send_next_message()

    def receive_reply(self, call: HandoverCall, accepted: bool) -> list[Effect]:
        """Sends the next message after a reply or a failed call.

        After a failure, the transfer starts again with the next candidate.
        Replies to earlier calls are ignored.

        Args:
            call: Call that ended.
            accepted: Whether the peer accepted the message; False if the call
                failed.
        """
        if self.finished or call.number != self.call_number:
            return []
        if not accepted:
            self.candidates.pop(0)
            return self.start_transfer()
        self.message_index += 1
        if self.message_index == len(self.messages):
            self.finished = True
            self.holder = self.candidates[0]
            return []
        return self._send_next_message()

    def _send_next_message(self) -> list[Effect]:
        self.call_number += 1
        return [
            CallPeer(
                HandoverCall(self.call_number),
                self.candidates[0],
                self.messages[self.message_index],
                self.timeout,
            )
        ]
