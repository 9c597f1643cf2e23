"""Transfer of finished outcomes to a peer before a planned stop."""

import attrs

from anvilford.entry._events import CallPeer
from anvilford.entry._events import Effect
from anvilford.entry._events import HandoverCall
from anvilford.protocol import HandoverChunk
from anvilford.protocol import HandoverSeal
from anvilford.submissions import Adoptions
from anvilford.submissions import handover_chunks
from anvilford.submissions import Ledger


def build_handover_messages(
    ledger: Ledger, adoptions: Adoptions
) -> list[HandoverChunk | HandoverSeal]:
    """Lists the messages that transfer all finished outcomes.

    Each stopped daemon's records are followed by their seal. Owners whose
    records never arrived completely are passed on as incomplete.
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
    """Sends handover messages to one peer at a time until one took them all.

    Attributes:
        messages: What to transfer, in order.
        candidates: Peer addresses still to be tried, best first.
        timeout: Longest wait for one reply, in seconds.
        message_index: Index of the message that awaits its reply.
        call_number: Number of the present call; replies to others are ignored.
        finished: True once a peer has everything or no peer is left.
        holder: Address of the peer that took everything; empty if none did.
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
        """Sends the first message to the best peer left."""
        self.message_index = 0
        if not self.candidates:
            self.finished = True
            return []
        return self._send_next_message()

    def receive_reply(self, call: HandoverCall, accepted: bool) -> list[Effect]:
        """Continues after a reply, or after a failure as `accepted=False`."""
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
