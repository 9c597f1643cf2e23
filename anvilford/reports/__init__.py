"""Pages with plots, drawn from the captured log lines of entries."""

from anvilford.reports._page import write_page
from anvilford.reports._series import Day
from anvilford.reports._series import read_day

__all__ = ["Day", "read_day", "write_page"]
