"""Durable copy of the operator marks in the platform's table.

Gossip spreads a mark within a second, but a site may replace all of its
entries. The row lets a fresh entry learn marks that no living peer knows.
"""

from collections.abc import Iterable

from anvilford.entry._events import Effect
from anvilford.entry._events import WriteMarks
from anvilford.membership import MembershipDirectory
from anvilford.protocol import Mark
from anvilford.protocol import VmState

# Drains are rare; the bound only keeps the row small after years.
MAX_STORED_MARKS = 1000


class MarkStore:
    """Compares the marks known here with the stored ones.

    Attributes:
        directory: Holds the known marks.
        was_read: True once the row was read.
        is_stored: False while a known mark is missing in the row.
    """

    def __init__(self, directory: MembershipDirectory):
        self.directory = directory
        self.was_read = False
        self.is_stored = True

    def observe(self, version: int, stored: Iterable[Mark]) -> list[Effect]:
        """Merges the stored marks and writes the ones that they lack.

        Args:
            version: Version of the row; 0 if there is none.
            stored: Marks in the row.
        """
        self.was_read = True
        kept = {}
        for mark in stored:
            self.directory.merge_mark(mark)
            known = self.directory.vms.get(mark.vm_id)
            if known is None or known.info.state is not VmState.GONE:
                kept[mark.vm_id] = mark
        current = {mark.vm_id: mark for mark in self.directory.active_marks()}
        newest = sorted((kept | current).values(), key=lambda m: -m.counter)
        wanted = {mark.vm_id: mark for mark in newest[:MAX_STORED_MARKS]}
        self.is_stored = wanted.items() <= kept.items()
        if self.is_stored:
            return []
        return [WriteMarks(version, tuple(wanted.values()))]
