"""Register that holds the configuration in force at one entry."""

from anvilford.configuration._rows import ConfigurationRow


class ConfigurationRegister:
    """Holds the configuration row in force; its version never decreases.

    Attributes:
        row: The row in force, or None before the first `apply`.
    """

    def __init__(self):
        self.row: ConfigurationRow | None = None

    @property
    def version(self) -> int:
        """Version of the row in force; 0 if there is none."""
        return self.row.version if self.row else 0

    def apply(self, row: ConfigurationRow) -> bool:
        """Puts a row in force if its version is higher than the current one.

        Args:
            row: Row read from the platform or received from a peer.

        Returns:
            True if the row was put in force; False if it was ignored.
        """
        if row.version <= self.version:
            return False
        self.row = row
        return True
