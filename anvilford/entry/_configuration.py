"""Fetches a newer configuration from the peer that has it."""

from anvilford.configuration import Register
from anvilford.entry._events import CallPeer
from anvilford.entry._events import ConfigurationCall
from anvilford.entry._events import Effect
from anvilford.membership import MembershipDirectory
from anvilford.protocol import ConfigurationRequest

CALL_TIMEOUT_S = 1.0
# A refused call fails at once; without a pause the next one would follow it
# immediately for as long as the dead peer is remembered.
RETRY_S = 0.5


class ConfigurationFetch:
    """Asks one peer at a time.

    Attributes:
        directory: Known entries with their versions.
        register: Version in force here.
        suspect_after: Silence in seconds after which a peer is not asked.
        is_calling: True while a call is open.
        not_before: Loop time of the next call.
    """

    def __init__(
        self,
        directory: MembershipDirectory,
        register: Register,
        suspect_after: float,
    ):
        self.directory = directory
        self.register = register
        self.suspect_after = suspect_after
        self.is_calling = False
        self.not_before = 0.0

    def advance(self, now: float) -> list[Effect]:
        """Asks the live peer with the newest version if it is newer."""
        if self.is_calling or now < self.not_before:
            return []
        newest = max(
            self.directory.live_entries(now, self.suspect_after),
            key=lambda entry: entry.configuration_version,
            default=None,
        )
        if newest is None or (
            newest.configuration_version <= self.register.version
        ):
            return []
        self.is_calling = True
        address = newest.incarnation.address
        return [
            CallPeer(
                ConfigurationCall(address),
                address,
                ConfigurationRequest(),
                CALL_TIMEOUT_S,
            )
        ]

    def finish(self, now: float) -> None:
        """Notes the end of the call, whatever came of it."""
        self.is_calling = False
        self.not_before = now + RETRY_S
