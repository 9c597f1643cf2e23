"""The configuration in force at one entry."""

from anvilford.configuration._rows import ConfigurationRow


class ConfigurationRegister:
    """Holds the row in force; the version never goes down.

    Attributes:
        row: The row in force, or None before the first.
    """

    def __init__(self):
        self.row: ConfigurationRow | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.row.version if self.row else 0

    def apply(self, row: ConfigurationRow) -> bool:
        """Puts a row in force if its version is higher.

        Args:
            row: Row from the platform or a peer.

        Returns:
            True if the row is now in force and was not before.
        """
        if row.version <= self.version:
            return False
        self.row = row
        return True
