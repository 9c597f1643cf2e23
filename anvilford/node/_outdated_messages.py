"""Decides which messages of members are outdated when a leader reads them."""

from anvilford.leadership import Member


class MessageOrder:
    """Knows the latest process and heartbeat of each member.

    The network may hold a message back while later ones arrive over another
    connection. The member may have withdrawn since what the message offers.
    """

    def __init__(self):
        # Token of the latest process of each member that the leader has heard.
        self._process_tokens: dict[str, str] = {}
        # Number of the latest heartbeat that was read of each of them.
        self._heartbeat_numbers: dict[str, int] = {}

    def clear(self) -> None:
        """Forgets all members."""
        self._process_tokens.clear()
        self._heartbeat_numbers.clear()

    def notice_restart(self, member: Member) -> bool:
        """Records the process of a member; returns whether it is another one."""
        token = self._process_tokens.get(member.name)
        self._process_tokens[member.name] = member.token
        has_restarted = token not in (None, member.token)
        if has_restarted:
            self._heartbeat_numbers.pop(member.name, None)
        return has_restarted

    def record_heartbeat(self, name: str, number: int) -> None:
        """Records the number of a heartbeat that was read."""
        self._heartbeat_numbers[name] = number

    def is_outdated(self, name: str, process: str, number: int) -> bool:
        """Returns whether a member has sent a heartbeat after a message.

        Args:
            name: Name of the member.
            process: Token of the process that sent the message.
            number: Number of the last heartbeat that it sent before.
        """
        is_same_process = process == self._process_tokens.get(name)
        return not is_same_process or (
            number < self._heartbeat_numbers.get(name, 0)
        )
