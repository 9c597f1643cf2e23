"""Transfer of finished outcomes to a peer before a planned stop."""

import attrs

from anvilford.entry._events import CallPeer
from anvilford.entry._events import Effect
from anvilford.entry._events import HandoverCall
from anvilford.protocol import HandoverChunk
from anvilford.protocol import HandoverSeal
from anvilford.submissions import AdoptedRecords
from anvilford.submissions import handover_chunks
from anvilford.submissions import Ledger


def handover_messages(
    ledger: Ledger, adoptions: AdoptedRecords
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
        position: Index of the message that awaits its reply.
        attempt: Number of the present call; replies to others are ignored.
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
        self.position = 0
        self.attempt = 0
        self.finished = False
        self.holder = ""

    def start(self) -> list[Effect]:
        """Sends the first message to the best peer left."""
        self.position = 0
        if not self.candidates:
            self.finished = True
            return []
        return self._call()

    def receive(self, call: HandoverCall, accepted: bool) -> list[Effect]:
        """Continues after a reply, or after a failure as `accepted=False`."""
        if self.finished or call.number != self.attempt:
            return []
        if not accepted:
            self.candidates.pop(0)
            return self.start()
        self.position += 1
        if self.position == len(self.messages):
            self.finished = True
            self.holder = self.candidates[0]
            return []
        return self._call()

    def _call(self) -> list[Effect]:
        self.attempt += 1
        return [
            CallPeer(
                HandoverCall(self.attempt),
                self.candidates[0],
                self.messages[self.position],
                self.timeout,
            )
        ]
