"""Durable copy of the operator marks in the platform's table.

Gossip spreads a mark within a second, but a site may replace all of its
entries. A new entry then reads marks that no live peer holds from the table.
"""

from collections.abc import Iterable

from anvilford.entry._events import Effect
from anvilford.entry._events import WriteMarks
from anvilford.membership import MembershipDirectory
from anvilford.protocol import Mark
from anvilford.protocol import VmState

# Operators drain targets rarely; the bound keeps the row small after years.
MAX_STORED_MARKS = 1000


class MarkStore:
    """Reconciles the directory's operator marks with the stored ones.

    Attributes:
        directory: Membership with the marks that this entry knows.
        was_read: True once the row of marks was read.
        is_stored: False while the row lacks a mark that it should hold; set by
            `reconcile`, and cleared by `EntryCore` for a new mark.
    """

    def __init__(self, directory: MembershipDirectory):
        self.directory = directory
        self.was_read = False
        self.is_stored = True

    def reconcile(self, version: int, stored: Iterable[Mark]) -> list[Effect]:
        """Merges the stored marks and writes those that are missing.

        Marks of VMs that are gone are not written again. Beyond
        `MAX_STORED_MARKS`, the marks with the lowest counters are left out.

        Args:
            version: Version of the row; 0 if the row does not exist.
            stored: Marks in the row.

        Returns:
            A write of the row if it lacks a mark, otherwise nothing.
        """
        self.was_read = True
        stored_marks = {}
        for mark in stored:
            self.directory.merge_mark(mark)
            known = self.directory.vms.get(mark.vm_id)
            if known is None or known.info.state is not VmState.GONE:
                stored_marks[mark.vm_id] = mark
        current = {mark.vm_id: mark for mark in self.directory.active_marks()}
        newest = sorted(
            (stored_marks | current).values(), key=lambda m: -m.counter
        )
        marks_to_store = {
            mark.vm_id: mark for mark in newest[:MAX_STORED_MARKS]
        }
        self.is_stored = marks_to_store.items() <= stored_marks.items()
        if self.is_stored:
            return []
        return [WriteMarks(version, tuple(marks_to_store.values()))]
