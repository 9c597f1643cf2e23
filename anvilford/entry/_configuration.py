"""Fetches newer configurations from peers."""

from anvilford.configuration import ConfigurationRegister
from anvilford.entry._events import CallPeer
from anvilford.entry._events import ConfigurationCall
from anvilford.entry._events import Effect
from anvilford.membership import MembershipDirectory
from anvilford.protocol import ConfigurationRequest

CALL_TIMEOUT_S = 1.0
# Delay between two calls. A call to a dead peer can be refused at once; without
# the delay, calls would repeat in a busy loop until the peer is forgotten.
RETRY_DELAY_S = 0.5


class ConfigurationFetcher:
    """Calls one peer at a time for its configuration.

    Attributes:
        directory: Known entries with their configuration versions.
        register: Configuration in force at this entry.
        suspect_after: Time without a heartbeat, in seconds, after which a peer
            is not called.
        has_open_call: True from the start of a call until `end_call`.
        next_call_at: Loop time before which no call starts, in seconds; set by
            `end_call`.
    """

    def __init__(
        self,
        directory: MembershipDirectory,
        register: ConfigurationRegister,
        suspect_after: float,
    ):
        self.directory = directory
        self.register = register
        self.suspect_after = suspect_after
        self.has_open_call = False
        self.next_call_at = 0.0

    def advance(self, now: float) -> list[Effect]:
        """Calls the live peer with the newest configuration if it is newer.

        Args:
            now: Loop time in seconds.

        Returns:
            The call, or nothing if no peer has a newer version, a call is
            open, or the delay after the last call is not over.
        """
        if self.has_open_call or now < self.next_call_at:
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
        self.has_open_call = True
        address = newest.incarnation.address
        return [
            CallPeer(
                ConfigurationCall(address),
                address,
                ConfigurationRequest(),
                CALL_TIMEOUT_S,
            )
        ]

    def end_call(self, now: float) -> None:
        """Ends the open call after its reply or failure."""
        self.has_open_call = False
        self.next_call_at = now + RETRY_DELAY_S
